// Entries and agents of a randomised run: processes that can be killed, restarted and frozen.
#pragma once

#include "journal_sink.h"
#include "peridotgrade/core/actions/action_host.h"
#include "peridotgrade/core/actions/action_router.h"

#include <functional>

namespace peridotgrade::testing {

/// What entries and agents have in common. A new run starts with new timers and an empty inbox.
struct WorldNode {
    std::string name;
    /// Counts the runs; what was meant for an earlier run is dropped.
    std::uint64_t run = 0;
    bool isAlive = false;
    bool isFrozen = false;
    /// Error of its clock.
    std::chrono::milliseconds clockError { 0 };
    std::unique_ptr<TimerService> timers;
    std::unique_ptr<JournalSink> events;
    /// What came while it was frozen.
    std::vector<std::function<void()>> inbox;

    bool isRunning() const { return this->isAlive && !this->isFrozen; }
    std::string runName() const { return this->name + '#' + std::to_string(this->run); }
};

struct WorldEntry : WorldNode {
    std::unique_ptr<RandomSource> random;
    std::unique_ptr<ActionRouter> router;
    /// Offset of the next record to read.
    std::size_t nextOffset = 0;
    std::vector<RequestId> open;
};

struct WorldAgent : WorldNode {
    std::unique_ptr<ActionHost> host;
    /// The request whose StartAction is being handled.
    RequestId startingRequest;
    /// When it was sent.
    TimePoint startingSince;
};

/// One connection. After a cut some of what was on the way to the agent still arrives.
struct WorldLink {
    ConnectionId id;
    std::size_t entry = 0;
    std::uint64_t entryRun = 0;
    std::size_t agent = 0;
    std::uint64_t agentRun = 0;
    bool isCut = false;
    /// After a cut: nothing arrives at the agent later than this.
    TimePoint survivesUntil;
    /// Arrival of the last message, so that none overtakes another.
    TimePoint lastAtAgent;
    TimePoint lastAtEntry;
};

} // namespace peridotgrade::testing
