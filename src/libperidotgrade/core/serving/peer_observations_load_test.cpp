// Plays entries that share what they measure, in virtual time.
#include "placement_play.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace peridotgrade::placement_play;

BOOST_AUTO_TEST_SUITE(PeerObservationsLoadTest)

BOOST_AUTO_TEST_CASE(entriesThatShareKnowUnequalSpeedsSooner)
{
    // Guards against evidence of peers that is lost or not used: with 24 entries and 40 engines an entry sees
    // a stream every 0.6 s.
    Deployment deployment { .prefill = 12, .decode = 28, .entries = 24, .perSecond = 40 };
    Tally alone = Simulation(deployment, 1).run(60s);
    deployment.isSharing = true;
    Tally sharing = Simulation(deployment, 1).run(60s);
    BOOST_REQUIRE(sharing.speedsKnownAt.has_value());
    Duration sharingTook = sharing.speedsKnownAt->time_since_epoch();
    Duration aloneTook = alone.speedsKnownAt.value_or(TimePoint { 60s }).time_since_epoch();
    BOOST_TEST_MESSAGE("alone " << secondsOf(aloneTook) << " s, sharing " << secondsOf(sharingTook)
                                << " s; alone " << alone.text() << "; sharing " << sharing.text());
    BOOST_TEST(secondsOf(aloneTook) >= 5 * secondsOf(sharingTook));
}

BOOST_AUTO_TEST_CASE(sharingAmongEqualEnginesChangesNothing)
{
    // Guards against much evidence that takes differences of load for differences of speed.
    Deployment equal { .perSecond = 11, .slow = 1, .fast = 1, .noise = 1 };
    std::string alone = Simulation(equal, 1).run(80s).text();
    equal.isSharing = true;
    BOOST_TEST(Simulation(equal, 1).run(80s).text() == alone);
}

BOOST_AUTO_TEST_SUITE_END()
