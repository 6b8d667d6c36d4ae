// Randomised runs of actions under faults. PERIDOT_ACTION_SEED and PERIDOT_ACTION_RUNS choose other seeds.
#include "random_world.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

using namespace peridotgrade;
using namespace peridotgrade::testing;

namespace {

constexpr std::uint64_t DefaultFirstSeed = 1;
constexpr std::uint64_t DefaultRuns = 100;

std::uint64_t fromEnvironment(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

/// Lines of the time line that name one of the failed keys, with the faults around them.
void printFailure(std::uint64_t seed, const RunJournal& journal)
{
    std::cerr << "PERIDOT_ACTION_SEED=" << seed << " PERIDOT_ACTION_RUNS=1 reproduces this run\n";
    for (const std::string& failure : journal.failures())
        std::cerr << failure << '\n';
    std::cerr << journal.timeline();
}

} // namespace

BOOST_AUTO_TEST_SUITE(random_run)

BOOST_AUTO_TEST_CASE(actions_run_at_most_once_and_callers_are_told_the_truth)
{
    auto first = fromEnvironment("PERIDOT_ACTION_SEED", DefaultFirstSeed);
    auto runs = fromEnvironment("PERIDOT_ACTION_RUNS", DefaultRuns);
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    for (auto seed = first; seed < first + runs; ++seed) {
        BOOST_TEST_CHECKPOINT("seed " << seed);
        RandomWorld world(seed, WorldFaults {});
        world.run();
        answered += world.journal().count(Outcome::Answered);
        notRun += world.journal().count(Outcome::NotRun);
        unknown += world.journal().count(Outcome::Unknown);
        if (world.journal().failures().empty())
            continue;
        printFailure(seed, world.journal());
        BOOST_FAIL("seed " << seed << ": " << world.journal().failures().front());
    }
    BOOST_TEST_MESSAGE("answered " << answered << " not-run " << notRun << " unknown " << unknown);
    BOOST_TEST(answered > 0u);
}

BOOST_AUTO_TEST_CASE(one_seed_gives_one_run)
{
    RandomWorld first(7, WorldFaults {});
    RandomWorld second(7, WorldFaults {});
    first.run();
    second.run();
    BOOST_TEST(first.journal().timeline() == second.journal().timeline());
}

BOOST_AUTO_TEST_CASE(without_faults_nothing_is_unknown)
{
    RandomWorld world(3, WorldFaults { 0, 0, 0, 0, 0 });
    world.run();
    BOOST_TEST(world.journal().failures().empty());
    BOOST_TEST(world.journal().count(Outcome::Unknown) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
