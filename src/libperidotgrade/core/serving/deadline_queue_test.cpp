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
    BOOST_TEST((queue.firstDue({}) == TimePoint { 700ms }));
    auto overdue = queue.takeOverdue(TimePoint { 900ms });
    BOOST_TEST(overdue.size() == 2U);
    BOOST_TEST(queue.size() == 1U);
    queue.remove(RequestId { 2 });
    queue.remove(RequestId { 2 });
    BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(servesByPriorityThenRetriesThenDueTime)
{
    // A retry that fails again costs its caller more than a first rejection, but a request of a more urgent
    // route goes before both.
    DeadlineQueue queue;
    auto add = [&queue](std::uint64_t id, RequestPriority priority, bool goesFirst, TimePoint due) {
        queue.add({ RequestId { id }, due, 100, std::nullopt, priority, goesFirst, {} });
    };
    add(1, { 1, 0 }, false, TimePoint { 1s });
    add(2, { 0, 1 }, false, TimePoint { 2s });
    add(3, { 0, 1 }, true, TimePoint { 4s });
    add(4, { 0, 0 }, false, TimePoint { 3s });
    std::vector<std::uint64_t> order;
    queue.visit([&](const WaitingRequest& request) {
        order.push_back(request.id.raw());
        return true;
    });
    BOOST_TEST((order == std::vector<std::uint64_t> { 4, 3, 2, 1 }));
    BOOST_TEST((queue.firstDue({}) == TimePoint { 1s }));
    BOOST_TEST(queue.tokensAhead({ RequestId { 5 }, TimePoint { 9s }, 50, std::nullopt, { 0, 1 }, true, {} })
        == 200U);
    // In the order of due times, whatever the priorities.
    auto overdue = queue.takeOverdue(TimePoint { 2s });
    BOOST_REQUIRE(overdue.size() == 2U);
    BOOST_TEST(overdue.front().id == RequestId { 1 });
    BOOST_TEST(overdue.back().id == RequestId { 2 });
}

BOOST_AUTO_TEST_CASE(lateRequestsLeaveOnlyForOnesThatAreAsUrgentAndOnTime)
{
    DeadlineQueue queue;
    auto add = [&queue](std::uint64_t id, RequestPriority priority, TimePoint onTimeUntil) {
        queue.add({ RequestId { id }, TimePoint { 5s }, 100, std::nullopt, priority, false, onTimeUntil });
    };
    add(1, { 0, 1 }, TimePoint { 1s });
    // Nothing else needs the room: a late answer is better than none.
    BOOST_TEST(queue.takeLate(TimePoint { 2s }).empty());
    BOOST_TEST((queue.firstDue(TimePoint { 2s }) == TimePoint { 5s }));
    add(2, { 0, 2 }, TimePoint { 4s });
    BOOST_TEST(queue.takeLate(TimePoint { 2s }).empty());
    BOOST_TEST((queue.firstDue(TimePoint { 2s }) == TimePoint { 4s }));
    add(3, { 0, 1 }, TimePoint { 3s });
    auto late = queue.takeLate(TimePoint { 2s });
    BOOST_REQUIRE(late.size() == 1U);
    BOOST_TEST((late[0].id == RequestId { 1 }));
    BOOST_TEST(queue.size() == 2U);
}

BOOST_AUTO_TEST_CASE(lateRetriesAreServedLastAndAreNoRivals)
{
    // A first attempt that had become late was rejected for a retry that was late already.
    DeadlineQueue queue;
    queue.add({ RequestId { 1 }, TimePoint { 1s }, 100, std::nullopt, {}, false, {}, true });
    queue.add({ RequestId { 2 }, TimePoint { 3s }, 100, std::nullopt, {}, false, TimePoint { 2s } });
    BOOST_TEST(queue.takeLate(TimePoint { 2s }).empty());
    std::vector<RequestId> order;
    queue.visit([&](const WaitingRequest& request) {
        order.push_back(request.id);
        return true;
    });
    BOOST_TEST((order == std::vector { RequestId { 2 }, RequestId { 1 } }));
}

BOOST_AUTO_TEST_CASE(countsTokensAhead)
{
    DeadlineQueue queue;
    queue.add({ RequestId { 1 }, TimePoint { 1s }, 100 });
    queue.add({ RequestId { 2 }, TimePoint { 2s }, 200 });
    BOOST_TEST(queue.tokensAhead({ RequestId { 3 }, TimePoint { 1500ms }, 50 }) == 100U);
    BOOST_TEST(queue.tokensAhead({ RequestId { 3 }, TimePoint { 3s }, 50 }) == 300U);
}

BOOST_AUTO_TEST_CASE(forecastRejectsALastAttemptOnlyIfItIsCertain)
{
    // An entry that was granted little in a burst rejected late retries, though the burst ended in their
    // time.
    QueueForecast forecast;
    forecast.noteBusy(TimePoint { 10s });
    const TimePoint now { 11s };
    BOOST_TEST(!forecast.canServe(now, 4000, 1s));
    BOOST_TEST(forecast.canServe(now, 4000, 1s, ForecastCertainty::High));
    forecast.noteGrant(now, 1000);
    BOOST_TEST(!forecast.canServe(now, 4000, 1s));
    BOOST_TEST(forecast.canServe(now, 4000, 1s, ForecastCertainty::High));
    BOOST_TEST(!forecast.canServe(now, 4001, 1s, ForecastCertainty::High));
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
