// Checks how many streams are on time on engines of unequal speed, and which engines get them.
#include "placement_play.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace peridotgrade::placement_play;

namespace {

constexpr double RequiredShare = 0.92;

Tally sumOf(const Deployment& deployment)
{
    Tally sum;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Tally tally = Simulation(deployment, seed).run(80s);
        sum.requests += tally.requests;
        sum.onTime += tally.onTime;
        sum.late += tally.late;
        sum.rejected += tally.rejected;
        sum.fastStreams += tally.fastStreams;
        sum.slowStreams += tally.slowStreams;
        sum.fastPrefills += tally.fastPrefills;
        sum.slowPrefills += tally.slowPrefills;
        sum.streamTime += tally.streamTime;
    }
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementLoadTest)

BOOST_AUTO_TEST_CASE(unequalEnginesGetWorkByTheirSpeed)
{
    // Guards against a choice that gives slow engines as much as fast ones: their queues of prefills make
    // first events late while fast engines are idle.
    Tally byTokens = sumOf({ .isPaced = false });
    Tally byPace = sumOf({ .isPaced = true });
    BOOST_TEST_MESSAGE("by tokens " << byTokens.text() << "; by pace " << byPace.text());
    BOOST_TEST(byPace.onTimeShare() >= RequiredShare);
    BOOST_TEST(byTokens.onTimeShare() < RequiredShare);
    // A fast engine and two slow ones of each three.
    BOOST_TEST(byPace.fastPrefills > byPace.slowPrefills / 2 * 1.5);
    BOOST_TEST(byPace.fastStreams > byPace.slowStreams / 2 * 1.5);
    BOOST_TEST(byPace.meanStream() < byTokens.meanStream());
}

BOOST_AUTO_TEST_CASE(equalEnginesAreServedAsBefore)
{
    // Guards against pace that is seen where there is none: the choice is the same, request for request.
    Deployment equal { .perSecond = 11, .slow = 1, .fast = 1, .noise = 1 };
    equal.isPaced = false;
    Tally byTokens = sumOf(equal);
    equal.isPaced = true;
    Tally byPace = sumOf(equal);
    BOOST_TEST(byPace.text() == byTokens.text());
}

BOOST_AUTO_TEST_CASE(prefillsLeaveADataCentreWhoseEnginesAreBusy)
{
    // Guards against entries that keep to the prefill engines nearest to the decode engine while these are
    // busy: an entry has no prefill of its own at most of them.
    // The speeds are not known, as in the first half minute of an entry.
    Deployment site { .prefill = 11, .decode = 29, .entries = 22, .perSecond = 46, .isPaced = false };
    Tally byOwnTokens = sumOf(site);
    site.hasBacklog = true;
    Tally byBacklog = sumOf(site);
    BOOST_TEST_MESSAGE("own tokens " << byOwnTokens.text() << "; backlog " << byBacklog.text());
    BOOST_TEST(byBacklog.onTimeShare() >= RequiredShare);
    BOOST_TEST(byOwnTokens.onTimeShare() < RequiredShare);
    site.isPaced = true;
    BOOST_TEST(sumOf(site).onTimeShare() >= RequiredShare);
}

BOOST_AUTO_TEST_SUITE_END()
