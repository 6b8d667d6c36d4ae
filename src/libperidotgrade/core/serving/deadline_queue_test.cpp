// Tests of the queue of waiting requests and of its forecast.
#include "peridotgrade/core/serving/deadline_queue.h"
#include "peridotgrade/core/serving/queue_forecast.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(DeadlineQueueTest)

BOOST_AUTO_TEST_CASE(servesByDueTimeAndReturnsOverdueRequests)
{
    DeadlineQueue queue;
    queue.add({ RequestId { 1 }, TimePoint { 900ms }, 100 });
    queue.add({ RequestId { 2 }, TimePoint { 3s }, 200 });
    queue.add({ RequestId { 3 }, TimePoint { 700ms }, 300 });
    std::vector<std::uint64_t> order;
    queue.visit([&](const WaitingRequest& request) {
        order.push_back(request.id.raw());
        return true;
    });
    BOOST_TEST((order == std::vector<std::uint64_t> { 3, 1, 2 }));
    BOOST_TEST((queue.firstDue() == TimePoint { 700ms }));
    auto overdue = queue.takeOverdue(TimePoint { 900ms });
    BOOST_TEST(overdue.size() == 2U);
    BOOST_TEST(queue.size() == 1U);
    queue.remove(RequestId { 2 });
    queue.remove(RequestId { 2 });
    BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(countsTokensAhead)
{
    DeadlineQueue queue;
    queue.add({ RequestId { 1 }, TimePoint { 1s }, 100 });
    queue.add({ RequestId { 2 }, TimePoint { 2s }, 200 });
    BOOST_TEST(queue.tokensAhead({ RequestId { 3 }, TimePoint { 1500ms }, 50 }) == 100U);
    BOOST_TEST(queue.tokensAhead({ RequestId { 3 }, TimePoint { 3s }, 50 }) == 300U);
}

BOOST_AUTO_TEST_CASE(forecastHasNoRateBeforeRequestsHaveWaited)
{
    // A rise of load meets a forecast that has seen only demand below capacity; it must not cause rejections.
    QueueForecast forecast;
    TimePoint now { 10s };
    for (int grant = 0; grant < 5; ++grant) {
        forecast.noteGrant(now, 4000);
        now += 100ms;
    }
    BOOST_TEST(forecast.canServe(now, 200'000, 700ms));
    forecast.noteIdle();
    forecast.noteBusy(now);
    BOOST_TEST(forecast.canServe(now + 100ms, 200'000, 700ms));
}

BOOST_AUTO_TEST_CASE(forecastRejectsWhatAQueueCannotServeInTime)
{
    QueueForecast forecast;
    TimePoint now { 10s };
    forecast.noteBusy(now);
    for (int grant = 0; grant < 10; ++grant) {
        now += 100ms;
        forecast.noteGrant(now, 4000);
    }
    // The rate is 40,000 tokens per second.
    BOOST_TEST(forecast.canServe(now, 20'000, 700ms));
    BOOST_TEST(!forecast.canServe(now, 60'000, 700ms));
    BOOST_TEST(forecast.canServe(now, 60'000, 3300ms));
}

BOOST_AUTO_TEST_CASE(forecastOfAStalledQueueRejects)
{
    QueueForecast forecast;
    forecast.noteBusy(TimePoint { 10s });
    BOOST_TEST(!forecast.canServe(TimePoint { 11s }, 4000, 700ms));
}

BOOST_AUTO_TEST_SUITE_END()
