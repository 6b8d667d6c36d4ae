// Tests of the measured time to first events.
#include "peridotgrade/core/serving/first_event_time.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(FirstEventTimeTest)

BOOST_AUTO_TEST_CASE(needsSeveralRecentTimes)
{
    // One slow answer, or a slow minute ago, must not cause rejections.
    FirstEventTime times;
    for (int each = 0; each < 3; ++each)
        times.record(TimePoint { 10s }, 2s);
    BOOST_TEST(!times.median(TimePoint { 10s }).has_value());
    times.record(TimePoint { 11s }, 100ms);
    BOOST_TEST((times.median(TimePoint { 11s }) == Duration { 2s }));
    BOOST_TEST(!times.median(TimePoint { 18500ms }).has_value());
    for (int each = 0; each < 5; ++each)
        times.record(TimePoint { 12s }, 400ms);
    BOOST_TEST((times.median(TimePoint { 12s }) == Duration { 400ms }));
}

BOOST_AUTO_TEST_CASE(followsThePromptAndThePresentWaitForPrefills)
{
    // A long prompt counted as on time, and a short one as late, for as long as the median of all was used;
    // a queue of prefills counted only after half of the kept answers had met it.
    FirstEventTime times;
    for (int each = 0; each < 10; ++each) {
        times.recordPrefill(TimePoint { 10s }, 150ms, 100ms);
        times.record(TimePoint { 10s }, 250ms);
    }
    BOOST_TEST((times.expected(TimePoint { 11s }, 40ms) == Duration { 190ms }));
    BOOST_TEST((times.expected(TimePoint { 11s }, 500ms) == Duration { 650ms }));
    BOOST_TEST((times.expected(TimePoint { 11s }, std::nullopt) == Duration { 250ms }));
    for (int each = 0; each < 3; ++each)
        times.recordPrefill(TimePoint { 11s }, 700ms, 100ms);
    BOOST_TEST((times.expected(TimePoint { 11s }, 40ms) == Duration { 740ms }));
    BOOST_TEST(!times.expected(TimePoint { 19s }, 40ms).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
