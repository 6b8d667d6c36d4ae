// Runs the admission queue under heavy load in virtual time and checks which requests are served, and when.
#include "overload_simulation.h"

using namespace peridotgrade;
using namespace peridotgrade::overload;

BOOST_AUTO_TEST_SUITE(OverloadTest)

BOOST_AUTO_TEST_CASE(normalLoadIsServedOnTime)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Tally tally = Simulation(seed).run(SimulatedTime, [](double) { return 0.7 * Capacity; });
        BOOST_TEST(share(tally.onTime, tally.requests) >= 0.99);
        BOOST_TEST(share(tally.rejectedTwice, tally.requests) <= 0.001);
    }
}

BOOST_AUTO_TEST_CASE(burstsDelayFewRequestsAndRetriesAreServed)
{
    // The load is twice the normal load for five seconds out of ten.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Tally tally = Simulation(seed).run(SimulatedTime, [](double second) {
            bool isBurst = std::fmod(second, 10) > 5;
            return (isBurst ? 1.2 : 0.6) * Capacity;
        });
        BOOST_TEST(share(tally.onTime, tally.requests) >= 0.9);
        BOOST_TEST(share(tally.onTime + tally.late, tally.requests) >= 0.98);
        BOOST_TEST((tally.longestWait <= MaxRetryWait));
    }
}

BOOST_AUTO_TEST_CASE(sustainedOverloadIsServedAtCapacityAndRejectedSoon)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Tally tally = Simulation(seed).run(SimulatedTime, [](double) { return 1.6 * Capacity; });
        double served = (tally.onTime + tally.late) / std::chrono::duration<double>(SimulatedTime).count();
        BOOST_TEST(served >= 0.9 * Capacity);
        BOOST_TEST((tally.longestWait <= MaxRetryWait));
        // Reservation calls must not become a load of their own.
        BOOST_TEST(tally.reservations <= 40 * tally.requests);
    }
}

BOOST_AUTO_TEST_CASE(urgentRequestsAreServedFirstInABurstAndNoneIsStarved)
{
    // Most entries have one request that waits or none, so an order within each queue alone would not do:
    // without the pauses the kind with the longest target is served most.
    const Scale scale { 25, 28,
        { { { 0, 0 }, 0.24, 500ms }, { { 0, 1 }, 0.43, 700ms }, { { 0, 2 }, 0.33, 1700ms } } };
    const double capacity = Capacity * static_cast<double>(scale.engines) / Engines;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Simulation simulation(seed, scale);
        Tally all = simulation.run(SimulatedTime,
            [&](double second) { return (std::fmod(second, 17) > 11 ? 2.2 : 1) * 0.9 * capacity; });
        double allServed = share(all.onTime + all.late, all.requests);
        for (std::size_t kind = 0; kind < scale.kinds.size(); ++kind) {
            const Tally& own = simulation.kindTally(kind);
            double served = share(own.onTime + own.late, own.requests);
            BOOST_TEST(served >= allServed / 4);
            BOOST_TEST(share(own.largeServed, own.large) >= served / 2);
            for (std::size_t other = kind + 1; other < scale.kinds.size(); ++other) {
                const Tally& less = simulation.kindTally(other);
                BOOST_TEST(served >= share(less.onTime + less.late, less.requests) - 0.05);
                BOOST_TEST(share(own.onTime, own.requests) >= share(less.onTime, less.requests) - 0.15);
            }
        }
        BOOST_TEST(share(simulation.kindTally(0).onTime, simulation.kindTally(0).requests) >= 0.8);
        BOOST_TEST(allServed >= 0.8);
    }
}

BOOST_AUTO_TEST_CASE(burstAtThePeakOfAWaveServesFirstWhoCanBeOnTime)
{
    // Without priorities, first events are due after 900 ms and take 300 ms. Guards against retries that take
    // memory from first attempts after each burst.
    constexpr double Period = 17;
    constexpr double Peak = Period / 4;
    Scale scale { 25, 28, { { {}, 1, 600ms } } };
    const double capacity = Capacity * static_cast<double>(scale.engines) / Engines;
    auto rateAt = [&](double second) {
        double at = std::fmod(second, Period);
        double wave = 1 + 0.55 * std::sin(2 * std::numbers::pi * at / Period);
        return 0.6 * capacity * wave * (std::abs(at - Peak) < 2 ? 2.2 : 1);
    };
    std::map<std::int64_t, Callers> pairs;
    Callers all;
    Callers withoutYield;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        scale.doRetriesYield = true;
        Simulation simulation(seed, scale);
        simulation.run(SimulatedTime, rateAt);
        for (const auto& [pair, callers] : simulation.callersByPair()) {
            pairs[pair].add(callers);
            all.add(callers);
        }
        scale.doRetriesYield = false;
        Simulation former(seed, scale);
        former.run(SimulatedTime, rateAt);
        for (const auto& [pair, callers] : former.callersByPair())
            withoutYield.add(callers);
    }
    BOOST_TEST(share(all.onTime, all.requests) > share(withoutYield.onTime, withoutYield.requests));
    BOOST_TEST(share(all.served, all.requests) >= 0.98);
    // In the worst second pair there is room for half of the requests.
    for (const auto& [pair, callers] : pairs) {
        BOOST_TEST(share(callers.onTime, callers.requests) >= 0.5);
        BOOST_TEST(share(callers.served, callers.requests) >= 0.95);
    }
}

BOOST_AUTO_TEST_SUITE_END()
