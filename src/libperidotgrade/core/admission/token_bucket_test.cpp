// Tests of the token bucket and of the sum over a window.
#include "peridotgrade/core/admission/token_bucket.h"
#include "peridotgrade/core/admission/usage_window.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TokenBucketTest)

// Guards against tokens beyond the capacity after a pause, and against lost time after a clock that seems to
// go back.
BOOST_AUTO_TEST_CASE(refillsUpToTheCapacityOnly)
{
    constexpr TokenRate Rate { 10, 30 };
    TokenBucket bucket(0, TimePoint { 1s });
    bucket.refill(Rate, TimePoint { 2s });
    BOOST_TEST(bucket.tokens() == 10);
    bucket.refill(Rate, TimePoint { 1s });
    bucket.refill(Rate, TimePoint { 3s });
    BOOST_TEST(bucket.tokens() == 20);
    bucket.refill(Rate, TimePoint { 1h });
    BOOST_TEST(bucket.tokens() == 30);
    bucket.take(50);
    BOOST_TEST(bucket.tokens() == -20);
    bucket.add(100);
    bucket.limitTo(25);
    BOOST_TEST(bucket.tokens() == 25);
    BOOST_TEST((TokenBucket::timeToGain(5, 10) == 500ms));
    BOOST_TEST((TokenBucket::timeToGain(5, 0) == 1h));
    BOOST_TEST((TokenBucket::timeToGain(1e300, 1) == 1h));
}

// Guards against reports at a hand-over that name too little.
BOOST_AUTO_TEST_CASE(windowCountsWhatWasUsedWithinIt)
{
    UsageWindow window(1s);
    window.add(5, TimePoint { 10s });
    window.add(7, TimePoint { 10500ms });
    BOOST_TEST(window.total(TimePoint { 10990ms }) == 12);
    window.remove(3, TimePoint { 10990ms });
    BOOST_TEST(window.total(TimePoint { 11s }) == 9);
    BOOST_TEST(window.total(TimePoint { 11200ms }) == 4);
    BOOST_TEST(window.total(TimePoint { 1h }) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
