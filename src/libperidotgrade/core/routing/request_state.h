// State of one model request at its entry, from admission to its end.
#pragma once

#include "peridotgrade/core/base/backoff.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/messages/session_messages.h"
#include "peridotgrade/core/messages/stream_messages.h"
#include "peridotgrade/core/routing/model_request.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotgrade {

enum class RequestPhase : std::uint8_t {
    /// Waits between two attempts.
    Waiting,
    Reserving,
    Prefilling,
    Decoding,
};

/// An attempt's reservation request, reservation or prefill at one agent.
struct AgentAttempt {
    AttemptId attempt;
    AgentId agent;
    EngineRole role = EngineRole::Mixed;
};

struct RequestState {
    ModelRequest request;
    Fingerprint fingerprint;
    bool isSuspect = false;
    RequestPhase phase = RequestPhase::Waiting;
    /// Invariant: only grows, so that no two reservation requests share a number.
    std::uint32_t lastAttempt = 0;

    /// Reservation requests that are not answered yet.
    std::vector<AgentAttempt> reservationRequests;
    /// The reservation that is held. Invariant: while there is one, `reservationRequests` is empty.
    std::optional<AgentAttempt> reservation;
    std::optional<AgentAttempt> prefill;
    /// Result of the finished prefill, to be handed to the decode engine.
    std::optional<PrefillFinished> kvCache;
    TimePoint decodeStartedAt;

    /// Agents that are not tried again for this request.
    std::set<AgentId> excludedAgents;
    std::uint32_t retries = 0;
    /// Rounds of reservation requests in the current attempt.
    std::uint32_t reservationRounds = 0;
    /// Number of engines that died while they ran this request.
    std::uint32_t crashes = 0;
    Backoff backoff;
    /// The shortest expected wait that a refusing agent reported.
    std::optional<std::chrono::milliseconds> shortestExpectedWait;

    /// Index of the next token for the caller. Invariant: only grows, by what is delivered.
    std::uint32_t nextIndex = 0;
    /// Text delivered so far.
    std::string deliveredText;
    std::optional<TimePoint> firstTokenAt;
    /// Time at which an interrupted answer stops looking for a new reservation.
    std::optional<TimePoint> resumeUntil;
    /// Prompt tokens of a prefill that has not led to an output token yet.
    std::uint32_t pendingPrefillTokens = 0;
    /// An engine has run the request, or may have run it in an attempt that has ended.
    bool hasRun = false;
    /// The current attempt was sent to an engine's agent and may be running.
    bool mayBeRunning = false;

    std::optional<TimerId> deadlineTimer;
    /// Timeout of the current phase.
    std::optional<TimerId> phaseTimer;
};

} // namespace peridotgrade
