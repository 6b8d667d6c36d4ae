// Randomised simulation of entries, agents, log and application servers in one process.
#pragma once

#include "fake_log.h"
#include "simulated_node.h"
#include "test_keys.h"

#include <array>

namespace peridotgrade::testing {

/// Probabilities of faults.
struct FaultRates {
    /// Share of submissions with a fault in the 60 ms after their planned time.
    double nearSubmission = 0.7;
    /// Share of actions of a node at which the node is killed or frozen.
    double atAction = 0.01;
    /// Share of appends and application calls with an abnormal result.
    double abnormalResult = 0.15;
    /// Shares of messages and of application calls that are delayed, by up to 20 s and 30 s.
    double slowMessage = 0.02;
    double slowCall = 0.1;
};

/// Drives the production routers and hosts in virtual time. All randomness comes from one seed.
class ActionSimulation {
public:
    ActionSimulation(std::uint64_t seed, FaultRates faults);

    /// Runs the whole simulation, including the time without faults at its end.
    void run();

    const RunHistory& history() const { return this->runHistory; }

private:
    static constexpr std::size_t EntryCount = 3;
    static constexpr std::size_t AgentCount = 3;
    static constexpr int KeyCount = 30;
    static constexpr int SubmissionCount = 90;
    using Milliseconds = std::chrono::milliseconds;

    // Event loop.
    TimePoint now() const { return this->timers.now(); }
    WallTime wallNow() const;
    void runUntil(TimePoint end);
    std::optional<TimePoint> nextDue() const;
    void after(Duration delay, std::function<void()> callback);
    /// Runs `work` on the node after the delay: later if the node is frozen, never if this incarnation has
    /// ended.
    void post(SimulatedNode& node, Duration delay, std::function<void()> work);
    void handleArrival(SimulatedNode& node, const std::function<void()>& work);
    void pump(SimulatedNode& node);
    bool chance(double probability) { return this->random.unit() < probability; }
    Duration between(Duration least, Duration most);
    Duration networkDelay();
    Duration outageLength();

    // Callers.
    void planSubmissions();
    void submit(std::size_t entry, const IdempotencyKey& key, Duration timeout);

    // Entries.
    void startEntry(std::size_t index);
    void pumpEntry(SimulatedEntry& entry);
    void perform(SimulatedEntry& entry, const CallAction& action);
    void append(SimulatedEntry& entry, const AppendClaims& append);
    void storeRecords(const std::vector<std::string>& records);
    void readLog(std::size_t index);
    void pollLog(std::size_t index);
    void deliver(
        SimulatedEntry& entry, std::size_t from, const std::vector<LogRecord>& records, TimePoint began);
    void updateCandidates(SimulatedEntry& entry);

    // Agents.
    void startAgent(std::size_t index);
    void pumpAgent(SimulatedAgent& agent);
    void callApplication(SimulatedAgent& agent, const CallApplication& call);
    void runApplication(const IdempotencyKey& key, RequestId origin, TimePoint startedAt);

    // Connections.
    void connect(std::size_t entry, std::size_t agent);
    void tryConnect(std::size_t entry, std::size_t agent);
    void cut(std::size_t entry, std::size_t agent);
    void sendToAgent(SimulatedEntry& entry, const SendToAgent& message);
    void sendToEntry(const SendToEntry& message);
    SimulatedConnection* connectionBetween(std::size_t entry, std::size_t agent);

    // Faults.
    void injectFault();
    void kill(SimulatedNode& node);
    void killEntry(std::size_t index);
    void killAgent(std::size_t index);
    void freeze(SimulatedNode& node, Duration length);
    void thaw(SimulatedNode& node);
    void stopFaults();

    FaultRates faults;
    RandomSource random;
    TimerService timers;
    RunHistory runHistory;
    FakeLog log;
    bool isLogUp = true;
    bool isFaultFree = false;
    std::array<SimulatedEntry, EntryCount> entries;
    std::array<SimulatedAgent, AgentCount> agents;
    std::map<ConnectionId, SimulatedConnection> connections;
    std::uint64_t lastId = 0;
};

} // namespace peridotgrade::testing
