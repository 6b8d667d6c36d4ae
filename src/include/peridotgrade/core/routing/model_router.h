// The entry's side of model requests, from admission to the last token.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timeline_event.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/policy/placement.h"
#include "peridotgrade/core/quarantine/quarantine.h"
#include "peridotgrade/core/routing/model_request.h"
#include "peridotgrade/core/routing/router_action.h"
#include "peridotgrade/core/routing/routing_view.h"

#include <chrono>
#include <memory>
#include <vector>

namespace peridotgrade {

/// Settings of a model router.
struct ModelRouterSettings {
    EntryId entry;
    Incarnation incarnation;
    DataCentreId dataCentre;
    /// Decode agents that are sent a reservation request in parallel.
    std::uint32_t parallelReservationRequests = 2;
    /// Rounds of reservation requests in one attempt. Each round after the first tries other engines when all
    /// of the previous round refused. Rounds are not retries: nothing has run, so they do not draw on the
    /// retry budget.
    std::uint32_t reservationRounds = 3;
    /// How long a reservation request may queue at an agent.
    std::chrono::milliseconds maxReservationQueueTime { 100 };
    /// The same for a resumed answer, which may queue longer: its caller already receives tokens, and the
    /// work done for it would be lost.
    std::chrono::milliseconds maxResumeQueueTime { 1500 };
    /// How long an interrupted answer may look for a new reservation, within its deadline. Nothing runs in
    /// the meantime, so this counts neither as an attempt nor as a retry.
    std::chrono::milliseconds maxResumeTime { 10000 };
    /// Retries of one request, within the retry budget.
    std::uint32_t maxRetries = 3;
    /// Fraction of a retry that one answered request earns, and the largest balance; see RetryBudget.
    double retryBudgetShare = 0.1;
    double retryBudgetReserve = 10.0;
    /// A stream that delivers no token for this long is aborted and resumed on another engine.
    std::chrono::milliseconds streamStallTimeout { 5000 };
};

/// Totals since the start of the process, for metrics.
struct ModelRouterCounters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t answeredWithinFirstTokenTarget = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t prefillTokens = 0;
    std::uint64_t prefillTokensWasted = 0;
};

/// Serves model requests through agents: it requests a reservation from decode agents, starts the prefill
/// only once a reservation is held, hands the KV cache over, forwards the tokens in order, resumes on another
/// engine when one is lost, and fails fast when the answer can no longer arrive in time. The router owns the
/// request; agents own the reservations.
///
/// A deterministic state machine: calls append actions to a list, which the owner drains with `takeActions`
/// after each call. Time comes from the timer service. Not thread safe; each state shard has its own
/// instance.
template <PlacementPolicy Policy> class ModelRouter {
public:
    ModelRouter(ModelRouterSettings settings, Policy policy, TimerService& timers, RandomSource& random,
        Quarantine& quarantine, EventSink& events);
    ~ModelRouter();
    ModelRouter(const ModelRouter&) = delete;
    ModelRouter& operator=(const ModelRouter&) = delete;

    /// Takes over a request whose id is not in use. The request ends in exactly one FinishAnswer or
    /// RefuseRequest, unless it is cancelled.
    void submit(ModelRequest request);
    /// Cancels a request whose caller disconnected: everything held for it is released, and no further action
    /// concerns it.
    void cancel(RequestId request);

    void updateView(RoutingView view);
    /// Opens a session on a new connection to the agent.
    void onAgentConnected(const AgentId& agent);
    /// Fails all attempts at an agent whose connection is lost.
    void onAgentLost(const AgentId& agent);
    /// Messages of ended attempts and of other sessions have no effect.
    void onMessage(const AgentId& agent, const AgentMessage& message);
    /// A load report that did not come with an answer and may be late; a hint for the policy.
    void onLoadReport(const AgentId& agent, const LiveLoad& load);

    /// Returns and clears the pending actions, in order.
    std::vector<RouterAction> takeActions();

    const ModelRouterCounters& counters() const;
    /// Number of requests that have not ended. Zero after a drain.
    std::size_t openRequests() const;
    /// Number of attempts that request, hold or use resources, over all agents.
    std::size_t heldAttempts() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
