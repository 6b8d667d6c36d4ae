// Randomised runs of configuration changes: racing operators, log outages, lost answers, log retention and
// node restarts.
#include "peridotgrade/core/config/snapshot_policy.h"
#include "random_run_engine.h"
#include "random_run_operator.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <memory>

using namespace peridotgrade;
using namespace peridotgrade::test;
using namespace std::chrono_literals;

namespace {

constexpr int Entries = 4;
constexpr int Agents = 4;
constexpr Duration Step = 100ms;
constexpr Duration FaultyTime = 500s;
constexpr Duration QuietTime = 200s;

/// A process that follows the configuration.
struct Node {
    Node(std::uint64_t seed)
        : policy(RandomRunLog::Retention, RandomSource(seed))
    {
    }

    ConfigurationReplica replica;
    SnapshotPolicy policy;
    ConfigVersion lastSeen;
    bool isFrozen = false;
};

class RandomRun {
public:
    explicit RandomRun(std::uint64_t seed)
        : random(seed)
        , log(this->timers, this->random)
    {
        PlanningView view;
        view.weightStoreBytesPerSecond = 1'000;
        for (int i = 0; i < Agents; ++i) {
            AgentId agent { "engine-" + std::to_string(i) };
            view.fleet.push_back({ agent, ServiceId { "s" } });
            this->engines.push_back(
                std::make_unique<RandomRunEngine>(agent, i % 2 == 0, this->timers, this->random, this->log));
        }
        for (int i = 0; i < Entries + Agents; ++i)
            this->nodes.push_back(this->freshNode());
        for (const char* name : { "ana", "bor" })
            this->operators.push_back(
                std::make_unique<RandomRunOperator>(name, this->timers, this->random, this->log, view));
        this->entryOfOperator.resize(this->operators.size(), 0);
    }

    void run()
    {
        for (Duration now { 0 }; now < FaultyTime; now += Step) {
            this->injectFaults();
            this->step(now);
        }
        this->endFaults();
        for (Duration now = FaultyTime; now < FaultyTime + QuietTime; now += Step)
            this->step(now);
        this->checkFinalState();
    }

    std::size_t confirmed() const
    {
        std::size_t sum = 0;
        for (const auto& each : this->operators)
            sum += each->confirmed();
        return sum;
    }

    std::size_t refused() const
    {
        std::size_t sum = 0;
        for (const auto& each : this->operators)
            sum += each->refused();
        return sum;
    }

private:
    std::unique_ptr<Node> freshNode() { return std::make_unique<Node>(this->random.next()); }

    bool happens(std::uint64_t oneIn) { return this->random.below(oneIn) == 0; }

    void restart(std::size_t index)
    {
        this->nodes[index] = this->freshNode();
        if (index >= Entries)
            this->engines[index - Entries]->restartAgent();
        for (std::size_t i = 0; i < this->operators.size(); ++i)
            this->entryOfOperator[i] = this->entryOfOperator[i] == index ? Entries : this->entryOfOperator[i];
    }

    void injectFaults()
    {
        // Outages are shorter than a quarter of the retention, so that snapshots can still be appended in
        // time.
        if (!this->log.isDown && this->happens(600)) {
            this->log.isDown = true;
            auto length = std::chrono::milliseconds { this->random.below(25'000) };
            this->timers.subscribeAfter(length, [this] { this->log.isDown = false; });
        }
        if (this->happens(100))
            this->restart(this->random.below(this->nodes.size()));
        if (this->happens(100))
            this->nodes[this->random.below(this->nodes.size())]->isFrozen = true;
        if (this->happens(20))
            this->nodes[this->random.below(this->nodes.size())]->isFrozen = false;
        if (this->happens(1'500))
            this->restartAllEntries();
        if (!this->log.isDown && this->happens(3'000))
            this->restartAll();
        if (this->happens(200))
            this->engines[this->random.below(Agents)]->restartEngine();
        if (this->happens(200))
            this->engines[this->random.below(Agents)]->executeForeignCommand();
    }

    void restartAllEntries()
    {
        for (std::size_t i = 0; i < Entries; ++i)
            this->restart(i);
    }

    void restartAll()
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
            this->restart(i);
    }

    void endFaults()
    {
        this->log.isDown = false;
        this->log.areFaultsOn = false;
        for (auto& node : this->nodes)
            node->isFrozen = false;
        for (auto& engine : this->engines)
            engine->areFaultsOn = false;
        for (auto& each : this->operators)
            each->isPlanning = false;
    }

    void step(Duration now)
    {
        this->timers.advance(TimePoint { now });
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
            this->stepNode(i);
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            if (!this->nodes[Entries + i]->isFrozen)
                this->engines[i]->applyConfiguration(this->nodes[Entries + i]->replica);
            this->engines[i]->handleActions();
        }
        for (std::size_t i = 0; i < this->operators.size(); ++i)
            this->stepOperator(i);
    }

    void stepNode(std::size_t index)
    {
        Node& node = *this->nodes[index];
        if (node.isFrozen)
            return;
        if (this->happens(2))
            this->log.feed(node.replica, 1 + this->random.below(5));
        if (this->log.isDown && this->happens(5))
            this->fetchFromPeer(node);
        bool isSnapshotDue = index < Entries && !this->log.isDown
            && node.policy.isDue(node.replica, this->log.oldest(), this->log.wallNow());
        if (isSnapshotDue && this->happens(5))
            this->log.append(encodeRecord(node.replica.snapshot()));
        this->checkNode(node);
    }

    void fetchFromPeer(Node& node)
    {
        Node& peer = *this->nodes[this->random.below(this->nodes.size())];
        if (!peer.isFrozen && peer.replica.isReady())
            node.replica.onPeerSnapshot(peer.replica.peerSnapshot());
    }

    void checkNode(Node& node)
    {
        BOOST_REQUIRE_MESSAGE(node.replica.version() >= node.lastSeen, "a node's version decreased");
        node.lastSeen = node.replica.version();
        auto found = this->log.versions.find(node.replica.version());
        BOOST_REQUIRE_MESSAGE(
            found != this->log.versions.end(), "a node has a version that never was in force");
        BOOST_REQUIRE_MESSAGE(
            found->second == node.replica.configuration(), "two configurations at one version");
    }

    void stepOperator(std::size_t index)
    {
        std::size_t& entry = this->entryOfOperator[index];
        bool isNewEntry = entry >= Entries;
        if (isNewEntry)
            entry = this->random.below(Entries);
        Node& node = *this->nodes[entry];
        if (node.isFrozen && this->happens(10))
            entry = Entries;
        if (!node.isFrozen)
            this->operators[index]->step(node.replica, isNewEntry);
    }

    void checkFinalState() const
    {
        for (const auto& node : this->nodes) {
            BOOST_REQUIRE_MESSAGE(node->replica.isReady(), "a node never learned the configuration");
            BOOST_REQUIRE_MESSAGE(node->replica.version() == this->log.reference.version(),
                "a node does not have the last version");
        }
        for (const auto& engine : this->engines) {
            BOOST_REQUIRE_MESSAGE(
                engine->matchesAssignment(), "an engine is not as the configuration assigns");
            BOOST_REQUIRE_MESSAGE(engine->reconciler->status().isInForce,
                "an engine matches its assignment, but is not reported in force");
        }
        for (const auto& each : this->operators)
            each->checkReportedResults();
    }

    TimerService timers;
    RandomSource random;
    RandomRunLog log;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<RandomRunEngine>> engines;
    std::vector<std::unique_ptr<RandomRunOperator>> operators;
    /// Index of the entry that each operator uses; `Entries` if it has to choose another one.
    std::vector<std::size_t> entryOfOperator;
};

std::uint64_t numberFromEnvironment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_SUITE(random_run)

// PERIDOT_SEED and PERIDOT_RUNS select other runs than those of CI.
BOOST_AUTO_TEST_CASE(configuration_is_one_and_the_same_whatever_fails)
{
    std::uint64_t first = numberFromEnvironment("PERIDOT_SEED", 1);
    std::uint64_t runs = numberFromEnvironment("PERIDOT_RUNS", 8);
    std::size_t confirmed = 0;
    std::size_t refused = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST_CHECKPOINT("seed " << seed);
            RandomRun run(seed);
            run.run();
            confirmed += run.confirmed();
            refused += run.refused();
        }
    }
    BOOST_TEST_MESSAGE(runs << " runs, confirmed " << confirmed << ", void or not confirmed " << refused);
    BOOST_TEST(confirmed > 0u);
    BOOST_TEST(refused > 0u);
}

BOOST_AUTO_TEST_SUITE_END()
