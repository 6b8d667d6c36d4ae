// The model router without the type of its policy. Each group of functions below has its own source file.
#pragma once

#include "agent_directory.h"
#include "handover_estimate.h"
#include "peridotgrade/core/base/retry_budget.h"
#include "peridotgrade/core/base/timeline_event.h"
#include "peridotgrade/core/quarantine/quarantine.h"
#include "peridotgrade/core/routing/model_router.h"
#include "placement_chooser.h"
#include "request_state.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridotgrade {

class RouterCore {
public:
    RouterCore(ModelRouterSettings settings, std::unique_ptr<PlacementChooser> chooser, TimerService& timers,
        RandomSource& random, Quarantine& quarantine, EventSink& events);

    // Requests (router_core.cpp).
    void submit(ModelRequest request);
    void cancel(RequestId request);
    void updateView(RoutingView view);
    std::vector<RouterAction> takeActions();
    const ModelRouterCounters& counters() const { return this->totals; }
    std::size_t openRequests() const { return this->requests.size(); }
    std::size_t heldAttempts() const { return this->agents.heldAttempts(); }

    // Messages (router_messages.cpp).
    void onAgentConnected(const AgentId& agent);
    void onAgentLost(const AgentId& agent);
    void onMessage(const AgentId& agent, const AgentMessage& message);
    void onLoadReport(const AgentId& agent, const LiveLoad& load) { this->agents.onLoad(agent, load); }

private:
    // Messages.
    void handle(const AgentId& agent, const SessionOpened& message);
    void handle(const AgentId& agent, const SessionRefused& message);
    void handle(const AgentId& agent, const Draining& message);
    void handle(const AgentId& agent, const ReservationGranted& message);
    void handle(const AgentId& agent, const ReservationRefused& message);
    void handle(const AgentId& agent, const PrefillFinished& message);
    void handle(const AgentId& agent, const TokenFrame& message);
    void handle(const AgentId& agent, const AttemptFailed& message);
    void handle(const AgentId& agent, const EngineCrashed& message);
    void handle(const AgentId& agent, const QuarantineNotice& message);
    /// Ignores messages that are meant for other parts of the entry.
    template <typename Other> void handle(const AgentId&, const Other&) { }
    /// Fails attempts that the agent has ended or that can no longer be observed.
    void failAll(const AgentId& agent, const std::vector<AttemptId>& attempts, AttemptFailure reason);
    void failAgentAttempt(const AgentId& agent, const AttemptId& attempt, AttemptFailure reason);
    void refuseQuarantined(Fingerprint fingerprint);
    void dropStale(const AgentId& agent, const AttemptId& attempt, const char* what);

    // Reservations and prefills (router_reservations.cpp).
    void startAttempt(RequestState& state);
    /// Returns false if the request was refused or deferred instead.
    bool checkQuarantine(RequestState& state);
    /// True if even an idle engine would not end the prefill in time, so that a retry by the caller cannot
    /// help.
    bool isPrefillTooLong(const RequestState& state) const;
    void requestReservations(RequestState& state);
    void requestReservation(RequestState& state, const EngineView& engine);
    /// Resumed answers are served before new requests.
    Priority priorityOf(const RequestState& state) const;
    std::chrono::milliseconds queueTimeOf(const RequestState& state, std::chrono::milliseconds slack) const;
    void onReservationTimeout(RequestState& state);
    /// Handles a lack of reservations or prefill engines: an answer that has begun searches again, other
    /// requests are refused.
    void waitOrRefuse(RequestState& state, RefusalReason reason);
    /// Called when all reservation requests are answered and none was granted.
    void onNoReservation(RequestState& state);
    void acceptReservation(RequestState& state, const AgentAttempt& granted);
    void startPrefill(RequestState& state, const AttemptId& attempt);
    std::vector<EngineView> candidates(const RequestState& state, bool isForPrefill) const;
    bool isServed(const ModelId& model) const;
    PlacementRequest placementRequest(const RequestState& state) const;

    // Streams (router_streaming.cpp).
    void startDecode(RequestState& state);
    void deliver(RequestState& state, const TokenFrame& frame);
    void onFirstTokenOfAttempt(RequestState& state);

    // Failures (router_failures.cpp).
    void failAttempt(RequestState& state, AttemptFailure reason);
    void retryOrRefuse(RequestState& state, RefusalReason reason);
    void releaseAll(RequestState& state);
    void finish(RequestState& state, FinishReason reason);
    void refuse(RequestState& state, RefusalReason reason, bool isWorthRetrying = true);
    void refuseAtOnce(const ModelRequest& request, RefusalReason reason);
    /// Removes the request; `state` is invalid afterwards.
    void erase(RequestState& state);

    RequestState* find(RequestId request);
    /// Time left in which new work for the request is useful.
    Duration slack(const RequestState& state) const;
    /// Time left in which the prefill has to end, so that the hand-over still fits in.
    Duration prefillSlack(const RequestState& state) const;
    void setPhaseTimer(RequestState& state, Duration delay, void (RouterCore::*onTimer)(RequestState&));
    void clearPhaseTimer(RequestState& state);
    void onDeadline(RequestState& state);
    void onPhaseTooLong(RequestState& state);
    void record(EventKind kind, const AttemptId& attempt, std::string subject, std::string detail = {});

    ModelRouterSettings settings;
    std::unique_ptr<PlacementChooser> chooser;
    TimerService& timers;
    RandomSource& random;
    Quarantine& quarantine;
    EventSink& events;
    std::vector<RouterAction> actions;
    ModelRouterCounters totals;
    RetryBudget retryBudget;
    AgentDirectory agents;
    HandoverEstimate handover;
    RoutingView view;
    std::map<RequestId, RequestState> requests;
    /// Suspect requests that have an attempt in progress. Invariant: at most one request per fingerprint.
    std::map<Fingerprint, RequestId> suspectsInFlight;
};

} // namespace peridotgrade
