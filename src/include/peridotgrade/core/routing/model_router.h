// The entry's side of model requests: from admission to the last token.
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

/// Knobs of a model router.
struct ModelRouterSettings {
    EntryId entry;
    Incarnation incarnation;
    DataCentreId dataCentre;
    /// Decode agents asked for a place at once.
    std::uint32_t asksAtOnce = 2;
    /// Rounds of asks in one attempt; a further one asks other engines when all of the last refused. Asks are
    /// no retries: nothing has run, so they do not draw on the retry budget.
    std::uint32_t askRounds = 3;
    /// How long an ask may queue at an agent.
    std::chrono::milliseconds maxAskQueueTime { 100 };
    /// The same for an answer that is resumed: its caller already reads, and what was spent on it would be
    /// lost.
    std::chrono::milliseconds maxResumeQueueTime { 1500 };
    /// How long an answer that has begun looks for a place to go on, within its deadline. While it only looks
    /// nothing runs, so that is neither an attempt nor a retry.
    std::chrono::milliseconds maxResumeTime { 10000 };
    /// Tries after the first for one request, within the retry budget.
    std::uint32_t maxRetries = 3;
    double retryBudgetShare = 0.1;
    double retryBudgetReserve = 10.0;
    /// A stream without a token for this long is given up and resumed elsewhere.
    std::chrono::milliseconds streamStallTimeout { 5000 };
};

/// Totals since the start, for metrics.
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

/// Serves model requests by conversations with agents: it asks decode agents for a place, starts the prefill
/// only when one is held, hands the KV cache over, forwards the tokens in order, resumes elsewhere when an
/// engine is lost, and gives up at once when the answer can no longer be had in time. It owns the request;
/// agents own places.
///
/// A deterministic state machine: calls append what is to be done to the action list, which the owner drains
/// with `takeActions` after each call. Time comes from the timer service. Not thread safe; one for each state
/// shard.
template <PlacementPolicy Policy> class ModelRouter {
public:
    ModelRouter(ModelRouterSettings settings, Policy policy, TimerService& timers, RandomSource& random,
        Quarantine& quarantine, EventSink& events);
    ~ModelRouter();
    ModelRouter(const ModelRouter&) = delete;
    ModelRouter& operator=(const ModelRouter&) = delete;

    /// Takes over a request whose id is not in use. It ends in exactly one FinishAnswer or RefuseRequest,
    /// unless it is cancelled.
    void submit(ModelRequest request);
    /// The caller is gone: everything held for the request is released, and no more is said about it.
    void cancel(RequestId request);

    void updateView(RoutingView view);
    /// A connection to the agent is up; opens a session there.
    void onAgentConnected(const AgentId& agent);
    /// The connection is lost; attempts there have failed.
    void onAgentLost(const AgentId& agent);
    /// Messages of ended attempts and of foreign sessions change nothing.
    void onMessage(const AgentId& agent, const AgentMessage& message);
    /// A load report that came by another way than an answer, possibly late: a hint for the policy.
    void onLoadReport(const AgentId& agent, const LiveLoad& load);

    /// What is to be done, in order; empties the list.
    std::vector<RouterAction> takeActions();

    const ModelRouterCounters& counters() const;
    /// Requests not yet ended. Zero after a drain.
    std::size_t openRequests() const;
    /// Holds at all agents together.
    std::size_t holds() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
