// Entries and agents of a randomised run: processes that can be killed, restarted and frozen.
#pragma once

#include "history_sink.h"
#include "peridotgrade/core/actions/action_host.h"
#include "peridotgrade/core/actions/action_router.h"

#include <functional>

namespace peridotgrade::testing {

/// What entries and agents have in common. A new run starts with new timers and an empty inbox.
struct SimulatedNode {
    std::string name;
    /// Counts the runs; what was meant for an earlier run is dropped.
    std::uint64_t incarnation = 0;
    bool isAlive = false;
    bool isFrozen = false;
    /// Error of its clock.
    std::chrono::milliseconds clockError { 0 };
    std::unique_ptr<TimerService> timers;
    std::unique_ptr<HistorySink> events;
    /// What came while it was frozen.
    std::vector<std::function<void()>> inbox;

    bool isRunning() const { return this->isAlive && !this->isFrozen; }
    std::string incarnationName() const { return this->name + '#' + std::to_string(this->incarnation); }
};

struct SimulatedEntry : SimulatedNode {
    std::unique_ptr<RandomSource> random;
    std::unique_ptr<ActionRouter> router;
    /// Offset of the next record to read.
    std::size_t nextOffset = 0;
    std::vector<RequestId> open;
};

struct SimulatedAgent : SimulatedNode {
    std::unique_ptr<ActionHost> host;
    /// The request whose StartAction is being handled.
    RequestId startingRequest;
    /// When it was sent.
    TimePoint startSentAt;
};

/// One connection. After a cut some of what was on the way to the agent still arrives.
struct SimulatedConnection {
    ConnectionId id;
    std::size_t entry = 0;
    std::uint64_t entryIncarnation = 0;
    std::size_t agent = 0;
    std::uint64_t agentIncarnation = 0;
    bool isCut = false;
    /// After a cut: nothing arrives at the agent later than this.
    TimePoint deliversUntil;
    /// Arrival of the last message, so that none overtakes another.
    TimePoint lastAtAgent;
    TimePoint lastAtEntry;
};

} // namespace peridotgrade::testing
