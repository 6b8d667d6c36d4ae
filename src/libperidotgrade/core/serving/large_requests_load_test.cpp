// Runs the admission queue at about twice the capacity and checks that large requests find memory.
#include "overload_simulation.h"

using namespace peridotgrade;
using namespace peridotgrade::overload;

BOOST_AUTO_TEST_SUITE(OverloadTest)

BOOST_AUTO_TEST_CASE(severeOverloadServesLargeRequestsHalfAsOften)
{
    const Scale scale { 25, 28,
        { { { 0, 0 }, 0.24, 500ms }, { { 0, 1 }, 0.43, 700ms }, { { 0, 2 }, 0.33, 1700ms } } };
    const double capacity = Capacity * static_cast<double>(scale.engines) / Engines;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Simulation simulation(seed, scale);
        simulation.run(SimulatedTime, [&](double) { return 2.4 * capacity; });
        for (std::size_t kind = 0; kind < scale.kinds.size(); ++kind) {
            const Tally& own = simulation.kindTally(kind);
            BOOST_TEST_CONTEXT("kind " << kind << " seed " << seed)
            {
                BOOST_TEST(
                    share(own.largeServed, own.large) >= share(own.onTime + own.late, own.requests) / 2);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
