// What the two halves of the action router share.
#pragma once

#include "application_directory.h"

namespace peridotgrade {

/// Surroundings of reads and actions: knobs, time, randomness, agents, and the list of what is to be done.
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
