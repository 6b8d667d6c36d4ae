// Tests of the lines that are kept for a request.
#include "peridotgrade/gateway/request_trace.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

const TimePoint Arrived { 10s };

} // namespace

BOOST_AUTO_TEST_SUITE(RequestTraceTest)

BOOST_AUTO_TEST_CASE(failedRequestHasAllItsLines)
{
    RequestTrace trace("r1", Arrived, false);
    trace.add(Arrived + 5ms, "reservation_asked", { { "tokens", "4000" } });
    trace.add(Arrived + 700ms, "reservation_granted", {});
    auto lines = trace.end(true);
    BOOST_REQUIRE(lines.size() == 2U);
    BOOST_TEST(lines[0].event == "reservation_asked");
    BOOST_REQUIRE(lines[0].fields.size() == 3U);
    BOOST_TEST(lines[0].fields[0].value == "r1");
    BOOST_TEST(lines[0].fields[1].key == "at_ms");
    BOOST_TEST(lines[1].fields[1].value == "700");
    // Lines are written once.
    BOOST_TEST(trace.end(true).empty());
}

BOOST_AUTO_TEST_CASE(servedRequestHasNoneUnlessAStepFailedOrItIsSampled)
{
    RequestTrace smooth("r1", Arrived, false);
    smooth.add(Arrived, "run_sent", {});
    BOOST_TEST(smooth.end(false).empty());
    RequestTrace sampled("r2", Arrived, true);
    sampled.add(Arrived, "run_sent", {});
    BOOST_TEST(sampled.end(false).size() == 1U);
    RequestTrace retried("r3", Arrived, false);
    retried.addFailure(Arrived, "prefill_failed", {});
    retried.add(Arrived, "prefill_sent", {});
    BOOST_TEST(retried.end(false).size() == 2U);
}

BOOST_AUTO_TEST_CASE(numberOfLinesIsBounded)
{
    RequestTrace trace("r1", Arrived, false);
    for (std::size_t step = 0; step < RequestTrace::MaxLines + 9; ++step)
        trace.add(Arrived, "reservation_refused", {});
    auto lines = trace.end(true);
    BOOST_REQUIRE(lines.size() == RequestTrace::MaxLines + 1);
    BOOST_TEST(lines.back().event == "steps_dropped");
    BOOST_TEST(lines.back().fields[1].value == "9");
}

BOOST_AUTO_TEST_SUITE_END()
