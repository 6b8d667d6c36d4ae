// Runs the admission queue at about twice the capacity for half a minute of virtual time and checks who is
// served.
#include "overload_simulation.h"

using namespace peridotgrade;
using namespace peridotgrade::overload;

BOOST_AUTO_TEST_SUITE(OverloadTest)

BOOST_AUTO_TEST_CASE(severeOverloadStarvesNoPriority)
{
    // The requests are smaller than those of the nominal capacity, so this is about 1.9 times what the
    // engines can serve. The more urgent kinds would fill the engines for half a minute. An entry sees one
    // request of a rare kind in about four seconds.
    const Scale scale { 25, 28,
        { { { 0, 0 }, 0.4, 500ms }, { { 0, 1 }, 0.3, 700ms }, { { 0, 2 }, 0.1, 1700ms },
            { { 1, 0 }, 0.1, 500ms }, { { 1, 1 }, 0.05, 700ms }, { { 2, 2 }, 0.05, 1700ms } } };
    const double capacity = Capacity * static_cast<double>(scale.engines) / Engines;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Simulation simulation(seed, scale);
        Tally all = simulation.run(SimulatedTime, [&](double) { return 2.4 * capacity; });
        double allServed = share(all.onTime + all.late, all.requests);
        for (std::size_t kind = 0; kind < scale.kinds.size(); ++kind) {
            const Tally& own = simulation.kindTally(kind);
            BOOST_TEST_CONTEXT("kind " << kind << " seed " << seed)
            {
                BOOST_TEST(share(own.onTime + own.late, own.requests) >= allServed / 4);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
