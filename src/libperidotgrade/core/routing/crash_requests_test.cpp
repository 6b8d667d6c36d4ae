// Requests that crash their servers, sent through several entries at once, beside innocent ones.
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
    std::size_t innocents = 0;
    std::size_t innocentsAnswered = 0;
    std::size_t innocentsQuarantined = 0;
    std::vector<std::string> failures;
};

/// A caller sends one crashing request through all entries at once, six times, under new ids; others ask for
/// ordinary answers all the while.
class CrashRun {
public:
    CrashRun(std::uint64_t seed, bool isLogOut)
        : world(settingsOf(seed))
        , seed(seed)
    {
        this->world.lostQuarantineNotices = isLogOut ? 1 : 0;
    }

    CrashRunResult run()
    {
        this->world.runFor(milliseconds { 400 });
        for (int round = 0; round < Rounds; ++round) {
            for (std::size_t entry = 0; entry < EntryCount; ++entry)
                this->world.submit(entry, this->seed, true);
            for (int i = 0; i < InnocentsEachRound; ++i) {
                this->world.submit(this->world.random.below(EntryCount), ++this->lastInnocent);
                this->world.runFor(milliseconds { 40 });
            }
        }
        this->world.runFor(seconds { 10 });
        return this->judge();
    }

private:
    static constexpr int Rounds = 6;
    static constexpr int InnocentsEachRound = 20;

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

    CrashRunResult judge()
    {
        CrashRunResult result;
        result.crashes = poisonCrashes(this->world);
        result.failures = this->world.ledger.failures;
        for (const auto& [id, request] : this->world.ledger.all()) {
            if (isPoison(request.prompt))
                continue;
            ++result.innocents;
            result.innocentsAnswered += request.isAnswered;
            bool isQuarantined = !request.isAnswered && request.finals > 0
                && request.refusal.reason == RefusalReason::Quarantined;
            result.innocentsQuarantined += isQuarantined;
        }
        return result;
    }

    World world;
    std::uint64_t seed;
    std::uint64_t lastInnocent = 100000;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_requests)

BOOST_AUTO_TEST_CASE(one_request_through_all_entries_costs_a_bounded_number_of_servers)
{
    for (bool isLogOut : { false, true }) {
        std::uint64_t most = 0;
        std::size_t innocents = 0;
        std::size_t answered = 0;
        std::size_t quarantined = 0;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            CrashRunResult result = CrashRun(seed, isLogOut).run();
            BOOST_TEST(result.failures.empty(), "seed " << seed);
            // The copies that ran before anybody knew, one for each entry, and a second server for one of
            // them.
            BOOST_TEST(result.crashes <= 2 + EntryCount, "seed " << seed << ": " << result.crashes);
            most = std::max(most, result.crashes);
            innocents += result.innocents;
            answered += result.innocentsAnswered;
            quarantined += result.innocentsQuarantined;
        }
        std::cout << (isLogOut ? "log out: " : "log there: ") << most << " servers at most, " << answered
                  << " of " << innocents << " innocents answered, " << quarantined << " quarantined\n";
        BOOST_TEST(quarantined == 0U);
        BOOST_TEST(answered * 100 >= innocents * 95);
    }
}

BOOST_AUTO_TEST_SUITE_END()
