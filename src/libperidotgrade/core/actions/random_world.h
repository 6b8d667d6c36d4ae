// A randomised run of actions: entries, agents, log and application servers in one process.
#pragma once

#include "fake_log.h"
#include "test_keys.h"
#include "world_node.h"

#include <array>

namespace peridotgrade::testing {

/// How much goes wrong.
struct WorldFaults {
    /// Share of submissions that come with a fault close by.
    double nearSubmission = 0.7;
    /// Share of actions of a node at which something happens to the node.
    double atAction = 0.01;
    /// Share of appends and application calls with an unusual end.
    double unusualEnd = 0.15;
    /// Shares of messages and of application calls that take seconds.
    double slowMessage = 0.02;
    double slowCall = 0.1;
};

/// Runs the product's routers and hosts on virtual time. All randomness comes from one seed.
class RandomWorld {
public:
    RandomWorld(std::uint64_t seed, WorldFaults faults);

    /// The whole run, to its quiet end.
    void run();

    const RunJournal& journal() const { return this->notes; }

private:
    static constexpr std::size_t EntryCount = 3;
    static constexpr std::size_t AgentCount = 3;
    static constexpr int KeyCount = 30;
    static constexpr int SubmissionCount = 90;
    using Milliseconds = std::chrono::milliseconds;

    // Driving.
    TimePoint now() const { return this->timers.now(); }
    WallTime wallNow() const;
    void runUntil(TimePoint end);
    std::optional<TimePoint> nextDue() const;
    void after(Duration delay, std::function<void()> callback);
    /// Runs `work` at the node after the delay: late if it is frozen, never if this run of it has ended.
    void post(WorldNode& node, Duration delay, std::function<void()> work);
    void arrive(WorldNode& node, const std::function<void()>& work);
    void pump(WorldNode& node);
    bool chance(double probability) { return this->random.unit() < probability; }
    Duration between(Duration least, Duration most);
    Duration networkDelay();
    Duration outageLength();

    // Callers.
    void planSubmissions();
    void submit(std::size_t entry, const IdempotencyKey& key, Duration patience);

    // Entries.
    void startEntry(std::size_t index);
    void pumpEntry(WorldEntry& entry);
    void perform(WorldEntry& entry, const CallAction& action);
    void append(WorldEntry& entry, const AppendClaims& append);
    void takeEffect(const std::vector<std::string>& records);
    void readLog(std::size_t index);
    void pollLog(std::size_t index);
    void deliver(WorldEntry& entry, std::size_t from, const std::vector<LogRecord>& records, TimePoint began);
    void updateCandidates(WorldEntry& entry);

    // Agents.
    void startAgent(std::size_t index);
    void pumpAgent(WorldAgent& agent);
    void callApplication(WorldAgent& agent, const CallApplication& call);
    void runApplication(const IdempotencyKey& key, RequestId origin, TimePoint startedAt);

    // Connections.
    void connect(std::size_t entry, std::size_t agent);
    void tryConnect(std::size_t entry, std::size_t agent);
    void cut(std::size_t entry, std::size_t agent);
    void sendToAgent(WorldEntry& entry, const SendToAgent& message);
    void sendToEntry(const SendToEntry& message);
    WorldLink* linkOf(std::size_t entry, std::size_t agent);

    // Faults.
    void someFault();
    void kill(WorldNode& node);
    void killEntry(std::size_t index);
    void killAgent(std::size_t index);
    void freeze(WorldNode& node, Duration length);
    void thaw(WorldNode& node);
    void calmDown();

    WorldFaults faults;
    RandomSource random;
    TimerService timers;
    RunJournal notes;
    FakeLog log;
    bool isLogUp = true;
    bool isCalm = false;
    std::array<WorldEntry, EntryCount> entries;
    std::array<WorldAgent, AgentCount> agents;
    std::map<ConnectionId, WorldLink> links;
    std::uint64_t lastId = 0;
};

} // namespace peridotgrade::testing
