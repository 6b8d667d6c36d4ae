// Tests of the timeline, the hybrid clock, the metrics text and request ids.
#include "peridotgrade/ops/hybrid_clock.h"
#include "peridotgrade/ops/id_text.h"
#include "peridotgrade/ops/metrics.h"
#include "peridotgrade/ops/timeline.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

namespace {

constexpr unsigned CounterBits = 16;

WallTime wallAt(std::int64_t milliseconds) { return WallTime { std::chrono::milliseconds { milliseconds } }; }

TimelineEvent eventOf(std::uint64_t request, std::string subject, std::string detail)
{
    TimelineEvent event;
    event.attempt.request = RequestId { request };
    event.subject = std::move(subject);
    event.detail = std::move(detail);
    return event;
}

} // namespace

BOOST_AUTO_TEST_CASE(clockStillIncreasesWhenTheWallClockGoesBack)
{
    WallTime wall = wallAt(1000);
    HybridClock clock([&wall] { return wall; });
    HybridTime first = clock.tick();
    wall = wallAt(500);
    HybridTime second = clock.tick();
    BOOST_CHECK(second > first);
}

BOOST_AUTO_TEST_CASE(eventsAfterAReceivedMessageAreLaterThanItsSending)
{
    HybridClock ahead([] { return wallAt(2000); });
    HybridClock behind([] { return wallAt(1000); });
    HybridTime sent = ahead.tick();
    behind.observe(sent);
    BOOST_CHECK(behind.tick() > sent);
}

BOOST_AUTO_TEST_CASE(timeFarAheadOfTheWallClockIsIgnored)
{
    HybridClock clock([] { return wallAt(1000); });
    clock.observe(HybridTime { ~0ULL });
    BOOST_CHECK(clock.tick().raw() < (2000ULL << CounterBits));
}

BOOST_AUTO_TEST_CASE(ringKeepsTheLatestEventsAndCountsTheLost)
{
    HybridClock clock([] { return wallAt(1000); });
    Timeline timeline("node", 3, clock);
    for (std::uint64_t request = 1; request <= 5; ++request)
        timeline.record(eventOf(request, "server", "caller-" + std::to_string(request)));
    auto all = boost::json::parse(timeline.toJson({}));
    BOOST_CHECK_EQUAL(all.at("lost").to_number<int>(), 2);
    BOOST_REQUIRE_EQUAL(all.at("events").as_array().size(), 3u);
    BOOST_CHECK_EQUAL(all.at("events").as_array()[0].at("request").as_string(), textOf(RequestId { 3 }));
    auto one = boost::json::parse(timeline.toJson({ textOf(RequestId { 4 }), "" }));
    BOOST_CHECK_EQUAL(one.at("events").as_array().size(), 1u);
    auto byCallersId = boost::json::parse(timeline.toJson({ "caller-4", "server" }));
    BOOST_CHECK_EQUAL(byCallersId.at("events").as_array().size(), 1u);
    auto none = boost::json::parse(timeline.toJson({ "", "other" }));
    BOOST_CHECK(none.at("events").as_array().empty());
}

BOOST_AUTO_TEST_CASE(metricsTextGroupsLabelsAndEscapesThem)
{
    MetricsRegistry metrics;
    metrics.counter({ "a_total", "Help.", "reason", "x\"y" }).add(2);
    metrics.counter({ "a_total", "Help.", "reason", "b" }).add();
    metrics.gauge({ "g", "Help.", "", "" }, [] { return 1.5; });
    Distribution& times = metrics.distribution({ "t_seconds", "Help.", "", "" });
    for (int sample = 1; sample <= 1000; ++sample)
        times.add(std::chrono::milliseconds { sample });
    std::string text = metrics.text();
    BOOST_CHECK(text.find("a_total{reason=\"b\"} 1\na_total{reason=\"x\\\"y\"} 2\n") != std::string::npos);
    BOOST_CHECK(text.find("# TYPE g gauge\ng 1.5\n") != std::string::npos);
    BOOST_CHECK(text.find("t_seconds_count 1000\n") != std::string::npos);
    auto quantiles = times.summary().quantiles;
    BOOST_REQUIRE_EQUAL(quantiles.size(), 4u);
    BOOST_CHECK_CLOSE(quantiles[0].value.count(), 0.5, 5);
    BOOST_CHECK_CLOSE(quantiles[3].value.count(), 0.99, 5);
}

BOOST_AUTO_TEST_CASE(requestIdsHaveOneTextForm)
{
    BOOST_CHECK_EQUAL(textOf(RequestId { 0xab }), "00000000000000ab");
    BOOST_CHECK(requestIdFrom("00000000000000ab") == RequestId { 0xab });
    BOOST_CHECK(!requestIdFrom("ab"));
    BOOST_CHECK(!requestIdFrom("00000000000000zz"));
}
