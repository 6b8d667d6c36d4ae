// One model request at its entry, from admission to its end.
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
    /// Between two attempts.
    Waiting,
    Reserving,
    Prefilling,
    Decoding,
};

/// Something asked for or held for an attempt at an agent.
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
    /// Invariant: only grows, so that no two asks share a number.
    std::uint32_t lastAttempt = 0;

    /// Places asked for and not answered yet.
    std::vector<AgentAttempt> reservationRequests;
    /// The place that is held. Invariant: while there is one, there are no asks.
    std::optional<AgentAttempt> reservation;
    std::optional<AgentAttempt> prefill;
    /// The prefill's result, where the prefill came before the place.
    std::optional<PrefillFinished> kvCache;
    TimePoint decodeStartedAt;

    /// Agents not to be tried again for this request.
    std::set<AgentId> excludedAgents;
    std::uint32_t retries = 0;
    /// Rounds of asks in the current attempt.
    std::uint32_t askRounds = 0;
    /// Engines that died while they ran this request.
    std::uint32_t crashes = 0;
    Backoff backoff;
    /// The shortest wait that a refusing agent expected.
    std::optional<std::chrono::milliseconds> shortestExpectedWait;

    /// Index of the next token the caller gets. Invariant: only grows, by what is delivered.
    std::uint32_t nextIndex = 0;
    /// Text delivered so far.
    std::string deliveredText;
    std::optional<TimePoint> firstTokenAt;
    /// While an answer that has begun looks for a place: when it gives up.
    std::optional<TimePoint> resumeUntil;
    /// Tokens of a prefill that has not led to a token yet.
    std::uint32_t pendingPrefillTokens = 0;
    /// An engine has worked on it in an attempt that ended.
    bool hasRun = false;
    /// The current attempt was handed to an engine's agent.
    bool mayBeRunning = false;

    std::optional<TimerId> deadlineTimer;
    /// Ends the current phase if nothing else does.
    std::optional<TimerId> phaseTimer;
};

} // namespace peridotgrade
