// Randomised simulations of actions under faults. The environment variables PERIDOT_ACTION_SEED and
// PERIDOT_ACTION_RUNS select the seeds.
#include "action_simulation.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

using namespace peridotgrade;
using namespace peridotgrade::testing;

namespace {

constexpr std::uint64_t DefaultFirstSeed = 1;
constexpr std::uint64_t DefaultRuns = 100;

std::uint64_t fromEnvironment(const char* name, std::uint64_t defaultValue)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : defaultValue;
}

/// Prints how to reproduce the run, its failures, and the end of its timeline.
void printFailure(std::uint64_t seed, const RunHistory& history)
{
    std::cerr << "PERIDOT_ACTION_SEED=" << seed << " PERIDOT_ACTION_RUNS=1 reproduces this run\n";
    for (const std::string& failure : history.failures())
        std::cerr << failure << '\n';
    std::cerr << history.timeline();
}

} // namespace

BOOST_AUTO_TEST_SUITE(random_run)

BOOST_AUTO_TEST_CASE(actions_run_at_most_once_and_callers_get_correct_outcomes)
{
    auto first = fromEnvironment("PERIDOT_ACTION_SEED", DefaultFirstSeed);
    auto runs = fromEnvironment("PERIDOT_ACTION_RUNS", DefaultRuns);
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    for (auto seed = first; seed < first + runs; ++seed) {
        BOOST_TEST_CHECKPOINT("seed " << seed);
        ActionSimulation simulation(seed, FaultRates {});
        simulation.run();
        answered += simulation.history().count(Outcome::Answered);
        notRun += simulation.history().count(Outcome::NotRun);
        unknown += simulation.history().count(Outcome::Unknown);
        if (simulation.history().failures().empty())
            continue;
        printFailure(seed, simulation.history());
        BOOST_FAIL("seed " << seed << ": " << simulation.history().failures().front());
    }
    BOOST_TEST_MESSAGE("answered " << answered << " not-run " << notRun << " unknown " << unknown);
    BOOST_TEST(answered > 0u);
}

BOOST_AUTO_TEST_CASE(equal_seeds_give_equal_timelines)
{
    ActionSimulation first(7, FaultRates {});
    ActionSimulation second(7, FaultRates {});
    first.run();
    second.run();
    BOOST_TEST(first.history().timeline() == second.history().timeline());
}

BOOST_AUTO_TEST_CASE(without_faults_nothing_is_unknown)
{
    ActionSimulation simulation(3, FaultRates { 0, 0, 0, 0, 0 });
    simulation.run();
    BOOST_TEST(simulation.history().failures().empty());
    BOOST_TEST(simulation.history().count(Outcome::Unknown) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
