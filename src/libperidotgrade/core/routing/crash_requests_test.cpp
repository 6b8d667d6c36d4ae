// Requests that crash their servers, sent through several entries concurrently with ordinary ones.
#include "test_support/world_counts.h"

#include <boost/test/unit_test.hpp>
#include <iostream>

using namespace peridotgrade;
using namespace peridotgrade::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t EntryCount = 3;

struct CrashRunResult {
    std::uint64_t crashes = 0;
    std::size_t ordinaryRequests = 0;
    std::size_t ordinaryAnswered = 0;
    std::size_t ordinaryQuarantined = 0;
    std::vector<std::string> failures;
};

/// A caller sends one crashing request through all entries at once, six times, under new ids, while others
/// send ordinary requests.
class CrashRun {
public:
    CrashRun(std::uint64_t seed, bool isLogDown)
        : world(settingsOf(seed))
        , seed(seed)
    {
        this->world.lostQuarantineNotices = isLogDown ? 1 : 0;
    }

    CrashRunResult run()
    {
        this->world.runFor(milliseconds { 400 });
        for (int round = 0; round < Rounds; ++round) {
            for (std::size_t entry = 0; entry < EntryCount; ++entry)
                this->world.submit(entry, this->seed, true);
            for (int i = 0; i < OrdinaryRequestsPerRound; ++i) {
                this->world.submit(this->world.random.below(EntryCount), ++this->lastOrdinary);
                this->world.runFor(milliseconds { 40 });
            }
        }
        this->world.runFor(seconds { 10 });
        return this->evaluate();
    }

private:
    static constexpr int Rounds = 6;
    static constexpr int OrdinaryRequestsPerRound = 20;

    static WorldSettings settingsOf(std::uint64_t seed)
    {
        WorldSettings settings;
        settings.seed = seed;
        settings.entries = EntryCount;
        settings.engines = { EngineRole::Prefill, EngineRole::Prefill, EngineRole::Decode, EngineRole::Decode,
            EngineRole::Decode, EngineRole::Decode, EngineRole::Mixed, EngineRole::Mixed };
        settings.router.maxRetries = 4;
        settings.router.retryBudgetReserve = 50;
        return settings;
    }

    CrashRunResult evaluate()
    {
        CrashRunResult result;
        result.crashes = poisonCrashes(this->world);
        result.failures = this->world.ledger.failures;
        for (const auto& [id, request] : this->world.ledger.all()) {
            if (isPoison(request.prompt))
                continue;
            ++result.ordinaryRequests;
            result.ordinaryAnswered += request.isAnswered;
            bool isQuarantined = !request.isAnswered && request.finalActions > 0
                && request.refusal.reason == RefusalReason::Quarantined;
            result.ordinaryQuarantined += isQuarantined;
        }
        return result;
    }

    World world;
    std::uint64_t seed;
    std::uint64_t lastOrdinary = 100000;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_requests)

BOOST_AUTO_TEST_CASE(a_crashing_request_through_all_entries_costs_a_bounded_number_of_servers)
{
    for (bool isLogDown : { false, true }) {
        std::uint64_t most = 0;
        std::size_t ordinaryRequests = 0;
        std::size_t answered = 0;
        std::size_t quarantined = 0;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            CrashRunResult result = CrashRun(seed, isLogDown).run();
            BOOST_TEST(result.failures.empty(), "seed " << seed);
            // One copy per entry may run before the first crash is known, and one of them may crash a second
            // server.
            BOOST_TEST(result.crashes <= 2 + EntryCount, "seed " << seed << ": " << result.crashes);
            most = std::max(most, result.crashes);
            ordinaryRequests += result.ordinaryRequests;
            answered += result.ordinaryAnswered;
            quarantined += result.ordinaryQuarantined;
        }
        std::cout << (isLogDown ? "log unavailable: " : "log available: ") << most << " servers at most, "
                  << answered << " of " << ordinaryRequests << " ordinary requests answered, " << quarantined
                  << " quarantined\n";
        BOOST_TEST(quarantined == 0U);
        BOOST_TEST(answered * 100 >= ordinaryRequests * 95);
    }
}

BOOST_AUTO_TEST_SUITE_END()
