// Tests of the measured demand of a service.
#include "peridotgrade/core/serving/engine_demand.h"

#include "peridotgrade/core/base/random_source.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EngineSpec engineOf(std::uint32_t slots, std::uint32_t kvCapacityTokens)
{
    EngineSpec engine;
    engine.slots = slots;
    engine.kvCapacityTokens = kvCapacityTokens;
    return engine;
}

double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// Decode time of a run that takes `share` of an engine, with the prefill during which the memory is
/// reserved.
double withPrefill(const EngineDemand& demand, double run, double share)
{
    return run + share * secondsOf(*demand.prefillCost().meanTime());
}

/// Two of three prefills wait.
void recordPrefills(EngineDemand& demand, int count, Duration wait = {})
{
    RandomSource random(11);
    for (int index = 0; index < count; ++index) {
        auto tokens = static_cast<std::uint32_t>(1000 + random.below(4000));
        bool waits = random.below(3) != 0;
        demand.recordPrefill(
            tokens, tokens * std::chrono::microseconds { 30 } + (waits ? wait : Duration::zero()));
    }
}

void recordRuns(EngineDemand& demand, const EngineSpec& engine, std::size_t count, const CompletedRun& run)
{
    for (std::size_t index = 0; index < count; ++index)
        demand.recordRun(engine, run);
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineDemandTest)

// Guards against a dozen runs that met fast engines only and move the roles right before a burst.
BOOST_AUTO_TEST_CASE(fewRunsCountLittleAgainstTheExpectedDemand)
{
    const RoleDemand expected { seconds { 1 }, seconds { 1 } };
    EngineDemand demand;
    recordPrefills(demand, 64);
    BOOST_TEST(!demand.currentNear(expected));
    const CompletedRun run { 4000, 60, seconds { 3 }, {} };
    recordRuns(demand, engineOf(64, 40'000), EngineDemand::MaxRuns / 4, run);
    Duration quarter = expected.prefill + (demand.current()->prefill - expected.prefill) / 4;
    BOOST_TEST(std::abs(secondsOf(demand.currentNear(expected)->prefill - quarter)) < 1e-6);
    recordRuns(demand, engineOf(64, 40'000), EngineDemand::MaxRuns, run);
    BOOST_TEST((demand.currentNear(expected)->prefill == demand.current()->prefill));
    BOOST_TEST((demand.currentNear(expected)->decode == demand.current()->decode));
}

BOOST_AUTO_TEST_CASE(needsPrefillsAndRuns)
{
    EngineDemand demand;
    recordPrefills(demand, 20);
    BOOST_TEST(!demand.current());
    recordRuns(demand, engineOf(64, 40'000), EngineDemand::MinRuns, { 4000, 60, seconds { 3 }, {} });
    BOOST_TEST(demand.current().has_value());
}

BOOST_AUTO_TEST_CASE(countsTheScarcerOfMemoryAndSlots)
{
    EngineDemand byMemory;
    recordPrefills(byMemory, 20);
    recordRuns(byMemory, engineOf(64, 40'000), 20, { 4000, 60, seconds { 3 }, {} });
    BOOST_TEST(secondsOf(byMemory.current()->decode) == withPrefill(byMemory, 0.3, 0.1),
        boost::test_tools::tolerance(0.01));
    EngineDemand bySlots;
    recordPrefills(bySlots, 20);
    recordRuns(bySlots, engineOf(4, 40'000), 20, { 4000, 60, seconds { 3 }, {} });
    BOOST_TEST(secondsOf(bySlots.current()->decode) == withPrefill(bySlots, 0.75, 0.25),
        boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(usesThePaceOfFullEngines)
{
    EngineDemand demand;
    recordPrefills(demand, 20);
    EngineSpec engine = engineOf(64, 40'000);
    recordRuns(demand, engine, EngineDemand::MinRuns, { 4000, 60, seconds { 4 }, milliseconds { 300 } });
    recordRuns(demand, engine, 60, { 4000, 60, seconds { 2 }, {} });
    BOOST_TEST(secondsOf(demand.current()->decode) == withPrefill(demand, 0.4, 0.1),
        boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(someSlowEnginesAreNotFullOnes)
{
    EngineDemand demand;
    recordPrefills(demand, 20);
    EngineSpec engine = engineOf(64, 40'000);
    recordRuns(demand, engine, 20, { 4000, 60, seconds { 4 }, milliseconds { 300 } });
    recordRuns(demand, engine, 9, { 4000, 60, seconds { 16 }, milliseconds { 300 } });
    BOOST_TEST(secondsOf(demand.current()->decode) == withPrefill(demand, 0.4, 0.1),
        boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(raisesThePrefillTimeWhilePrefillsWaitLong)
{
    EngineDemand demand;
    EngineSpec engine = engineOf(64, 40'000);
    recordRuns(demand, engine, 20, { 4000, 60, seconds { 3 }, {} });
    recordPrefills(demand, 60);
    Duration calm = demand.current()->prefill;
    recordPrefills(demand, 60, milliseconds { 900 });
    Duration busy = demand.current()->prefill;
    BOOST_TEST(secondsOf(busy) > 1.3 * secondsOf(calm));
    recordPrefills(demand, 600);
    BOOST_TEST(secondsOf(demand.current()->prefill) == secondsOf(calm), boost::test_tools::tolerance(0.15));
}

BOOST_AUTO_TEST_CASE(prefillTimeoutFollowsCostAndWaits)
{
    EngineDemand demand;
    BOOST_TEST(!demand.prefillTimeout(3000));
    recordPrefills(demand, 60);
    Duration calm = *demand.prefillTimeout(3000);
    // Twice 90 ms and the margin.
    BOOST_TEST(secondsOf(calm) == 0.68, boost::test_tools::tolerance(0.05));
    BOOST_TEST(secondsOf(*demand.prefillTimeout(30'000)) > 1.8);
    recordPrefills(demand, 60, milliseconds { 400 });
    BOOST_TEST(secondsOf(*demand.prefillTimeout(3000)) > 1);
}

BOOST_AUTO_TEST_CASE(waitsForEnginesThatAreSlowerThanTheFirstTimeout)
{
    EngineDemand demand;
    for (int index = 0; index < 16; ++index)
        demand.recordTimedOutPrefill(20'000, milliseconds { 1200 });
    BOOST_TEST(secondsOf(*demand.prefillTimeout(20'000)) > 2.4);
    // Some silent engines among quick ones change nothing.
    EngineDemand mostlyQuick;
    recordPrefills(mostlyQuick, 60);
    Duration before = *mostlyQuick.prefillTimeout(3000);
    for (int index = 0; index < 20; ++index)
        mostlyQuick.recordTimedOutPrefill(3000, milliseconds { 700 });
    BOOST_TEST(
        secondsOf(*mostlyQuick.prefillTimeout(3000)) == secondsOf(before), boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(ignoresARunWithoutEvents)
{
    EngineDemand demand;
    recordPrefills(demand, 20);
    recordRuns(demand, engineOf(0, 0), 20, { 4000, 0, seconds { 3 }, {} });
    BOOST_TEST(!demand.current());
}

BOOST_AUTO_TEST_SUITE_END()
