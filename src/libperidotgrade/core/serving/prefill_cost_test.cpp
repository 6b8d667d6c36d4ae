// Tests of the estimate of prefill times.
#include "peridotgrade/core/serving/prefill_cost.h"

#include "peridotgrade/core/base/random_source.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace peridotgrade;

namespace {

using std::chrono::milliseconds;

double millisecondsOf(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Prefills of one engine model, some of which wait behind others.
struct Readings {
    double fixedMs;
    double perTokenMs;
    /// Share of the prefills that wait, and the mean of their wait.
    double waitShare;
    double waitMs;

    void recordTo(PrefillCost& cost, int count, RandomSource& random) const
    {
        for (int index = 0; index < count; ++index) {
            auto tokens = static_cast<std::uint32_t>(500 + random.below(6000));
            double took = fixedMs + perTokenMs * tokens + 2 * random.unit();
            if (random.unit() < waitShare)
                took -= waitMs * std::log(1 - random.unit());
            cost.record(tokens,
                std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(took)));
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(PrefillCostTest)

BOOST_AUTO_TEST_CASE(separatesFixedTimeFromTimePerToken)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RandomSource random(seed);
        PrefillCost cost;
        Readings { 90, 1 / 33.3, 0.5, 200 }.recordTo(cost, 64, random);
        double mean = 3500;
        BOOST_TEST(
            millisecondsOf(*cost.estimate(3500)) == 90 + mean / 33.3, boost::test_tools::tolerance(0.15));
        BOOST_TEST(millisecondsOf(*cost.meanOccupancy()) == mean / 33.3, boost::test_tools::tolerance(0.25));
    }
}

BOOST_AUTO_TEST_CASE(followsAChangeOfTheEngines)
{
    RandomSource random(7);
    PrefillCost cost;
    Readings { 10, 1 / 33.3, 0.3, 100 }.recordTo(cost, 64, random);
    Readings { 60, 0.1, 0.3, 100 }.recordTo(cost, 64, random);
    BOOST_TEST(millisecondsOf(*cost.estimate(3000)) == 360.0, boost::test_tools::tolerance(0.15));
}

BOOST_AUTO_TEST_CASE(usesTheWholeTimeOfPromptsOfOneSizeInPart)
{
    PrefillCost cost;
    for (int index = 0; index < 20; ++index)
        cost.record(2000, milliseconds { 100 });
    BOOST_TEST(millisecondsOf(*cost.estimate(2000)) == 100.0, boost::test_tools::tolerance(0.01));
    double occupancy = millisecondsOf(*cost.meanOccupancy());
    BOOST_TEST(occupancy >= PrefillCost::MinOccupancyShare * 100 - 0.1);
    BOOST_TEST(occupancy <= 100.1);
}

BOOST_AUTO_TEST_CASE(knowsNothingBeforeItHasSamples)
{
    PrefillCost cost;
    for (std::size_t index = 0; index + 1 < PrefillCost::MinSamples; ++index)
        cost.record(2000, milliseconds { 100 });
    BOOST_TEST(!cost.estimate(2000));
    BOOST_TEST(!cost.meanOccupancy());
    cost.record(0, milliseconds { 100 });
    BOOST_TEST(cost.estimate(2000).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
