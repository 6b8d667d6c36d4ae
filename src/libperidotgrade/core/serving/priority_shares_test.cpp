// Tests of what an entry knows of the demand and service of each priority.
#include "peridotgrade/core/serving/priority_shares.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

constexpr RequestPriority Urgent { 0, 0 };
constexpr RequestPriority Less { 0, 1 };
constexpr RequestPriority OtherTenant { 1, 0 };

} // namespace

BOOST_AUTO_TEST_SUITE(PrioritySharesTest)

BOOST_AUTO_TEST_CASE(onlyPrioritiesThatSendRequestsGoBeforeOthers)
{
    // Requests of a priority that is not in use must not be waited for.
    PriorityShares shares;
    TimePoint now { 100s };
    BOOST_TEST(shares.rankOf(OtherTenant, now) == 0U);
    for (RequestPriority priority : { Urgent, Less, OtherTenant })
        shares.noteArrival(priority, 4000, now);
    BOOST_TEST(shares.rankOf(Urgent, now) == 0U);
    BOOST_TEST(shares.rankOf(Less, now) == 1U);
    BOOST_TEST(shares.rankOf(OtherTenant, now) == 2U);
    BOOST_TEST(shares.urgentTokensPerSecond(OtherTenant, now) == 2000);
    BOOST_TEST(shares.urgentTokensPerSecond(Urgent, now) == 0);
    BOOST_TEST(shares.rankOf(OtherTenant, now + 20s) == 0U);
}

BOOST_AUTO_TEST_CASE(aPriorityThatIsHardlyServedCountsAsStarved)
{
    PriorityShares shares;
    TimePoint now { 100s };
    shares.noteEnd(Less, false, now);
    // One rejection is no evidence.
    BOOST_TEST(!shares.isStarved(Less, now));
    for (int request = 0; request < 10; ++request) {
        shares.noteEnd(Urgent, true, now);
        shares.noteEnd(Less, request == 0, now);
    }
    BOOST_TEST(shares.isStarved(Less, now));
    BOOST_TEST(!shares.isStarved(Urgent, now));
    for (int request = 0; request < 5; ++request)
        shares.noteEnd(Less, true, now);
    BOOST_TEST(!shares.isStarved(Less, now));
}

BOOST_AUTO_TEST_CASE(aRarePriorityIsMeasuredToo)
{
    // With the memory of a burst, one request in five seconds was never evidence, and it was not protected.
    PriorityShares shares;
    TimePoint now { 100s };
    for (int second = 0; second < 30; ++second, now += 1s) {
        shares.noteEnd(Urgent, true, now);
        if (second % 5 == 0)
            shares.noteEnd(Less, false, now);
    }
    BOOST_TEST(shares.isStarved(Less, now));
}

BOOST_AUTO_TEST_CASE(noPriorityIsStarvedIfNoneIsServed)
{
    // Otherwise all would go first while all engines are gone.
    PriorityShares shares;
    TimePoint now { 100s };
    for (int request = 0; request < 5; ++request)
        shares.noteEnd(Urgent, false, now);
    BOOST_TEST(!shares.isStarved(Urgent, now));
}

BOOST_AUTO_TEST_SUITE_END()
