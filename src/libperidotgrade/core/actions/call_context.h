// State shared by the read and the action half of the action router.
#pragma once

#include "application_directory.h"

namespace peridotgrade {

/// Settings, time, randomness, agents and pending outputs of reads and actions.
struct CallContext {
    const ActionRouterSettings settings;
    TimerService& timers;
    RandomSource& random;
    EventSink& events;
    ApplicationDirectory agents;
    ActionRouterCounters counters;
    std::vector<CallAction> actions;

    void send(const AgentId& agent, EntryMessage message);
    void finish(RequestId request, ApplicationAnswer answer);
    void refuse(RequestId request, RefusalReason reason, Outcome outcome,
        std::optional<std::chrono::milliseconds> retryAfter);
    void record(EventKind kind, AttemptId attempt, std::string subject, std::string detail = {});

    /// Time until `deadline`, rounded down, for messages.
    std::chrono::milliseconds timeLeft(TimePoint deadline) const;
};

} // namespace peridotgrade
