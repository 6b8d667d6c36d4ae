// Tests of the timer service: order of callbacks, cancellation, time that never goes back.
#include "peridotgrade/core/base/timer_service.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace peridotgrade;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(timer_service)

BOOST_AUTO_TEST_CASE(calls_in_order_of_due_time_then_of_subscription)
{
    TimerService timers;
    std::vector<int> callOrder;
    timers.subscribeAfter(20ms, [&] { callOrder.push_back(3); });
    timers.subscribeAfter(10ms, [&] { callOrder.push_back(1); });
    timers.subscribeAfter(10ms, [&] { callOrder.push_back(2); });
    timers.advance(TimePoint { 15ms });
    BOOST_TEST(callOrder == (std::vector<int> { 1, 2 }));
    timers.advance(TimePoint { 20ms });
    BOOST_TEST(callOrder == (std::vector<int> { 1, 2, 3 }));
}

BOOST_AUTO_TEST_CASE(subscriber_sees_its_due_time_and_may_subscribe_again)
{
    TimerService timers;
    std::vector<TimePoint> seen;
    timers.subscribeAfter(10ms, [&] {
        seen.push_back(timers.now());
        timers.subscribeAfter(10ms, [&] { seen.push_back(timers.now()); });
    });
    timers.advance(TimePoint { 1s });
    BOOST_REQUIRE(seen.size() == 2);
    BOOST_TEST((seen[0] == TimePoint { 10ms }));
    BOOST_TEST((seen[1] == TimePoint { 20ms }));
    BOOST_TEST((timers.now() == TimePoint { 1s }));
}

BOOST_AUTO_TEST_CASE(cancelled_subscription_is_not_called)
{
    TimerService timers;
    bool called = false;
    auto id = timers.subscribeAfter(10ms, [&] { called = true; });
    timers.cancel(id);
    timers.cancel(id);
    timers.advance(TimePoint { 1s });
    BOOST_TEST(!called);
    BOOST_TEST(!timers.nextDue().has_value());
}

BOOST_AUTO_TEST_CASE(time_never_goes_back)
{
    TimerService timers(TimePoint { 1s });
    timers.advance(TimePoint { 500ms });
    BOOST_TEST((timers.now() == TimePoint { 1s }));
}

BOOST_AUTO_TEST_SUITE_END()
