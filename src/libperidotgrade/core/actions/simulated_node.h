// Simulated entries and agents: processes that can be killed, restarted and frozen.
#pragma once

#include "history_sink.h"
#include "peridotgrade/core/actions/action_host.h"
#include "peridotgrade/core/actions/action_router.h"

#include <functional>

namespace peridotgrade::testing {

/// State common to entries and agents. A new incarnation starts with new timers and an empty inbox.
struct SimulatedNode {
    std::string name;
    /// Counts the incarnations; work for an earlier one is dropped.
    std::uint64_t incarnation = 0;
    bool isAlive = false;
    bool isFrozen = false;
    /// Deviation of its wall clock from the simulated time.
    std::chrono::milliseconds clockError { 0 };
    std::unique_ptr<TimerService> timers;
    std::unique_ptr<HistorySink> events;
    /// Work that arrived while the node was frozen.
    std::vector<std::function<void()>> inbox;

    bool isRunning() const { return this->isAlive && !this->isFrozen; }
    std::string incarnationName() const { return this->name + '#' + std::to_string(this->incarnation); }
};

struct SimulatedEntry : SimulatedNode {
    std::unique_ptr<RandomSource> random;
    std::unique_ptr<ActionRouter> router;
    /// Offset of the next record to read.
    std::size_t nextOffset = 0;
    /// Requests submitted in this incarnation, including those that have ended.
    std::vector<RequestId> submittedRequests;
};

struct SimulatedAgent : SimulatedNode {
    std::unique_ptr<ActionHost> host;
    /// The request whose StartAction is being handled.
    RequestId startingRequest;
    /// Time at which the StartAction was sent.
    TimePoint startSentAt;
};

/// One connection. After a cut, some messages in flight to the agent still arrive.
struct SimulatedConnection {
    ConnectionId id;
    std::size_t entry = 0;
    std::uint64_t entryIncarnation = 0;
    std::size_t agent = 0;
    std::uint64_t agentIncarnation = 0;
    bool isCut = false;
    /// After a cut, no message arrives at the agent later than this.
    TimePoint deliversUntil;
    /// Arrival time of the last message, so that messages stay in order.
    TimePoint lastAtAgent;
    TimePoint lastAtEntry;
};

} // namespace peridotgrade::testing
