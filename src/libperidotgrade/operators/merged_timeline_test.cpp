// Tests of the merged timeline.
#include "peridotgrade/operators/merged_timeline.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

BOOST_AUTO_TEST_SUITE(merged_timeline)

BOOST_AUTO_TEST_CASE(events_are_ordered_by_the_hybrid_clock_and_losses_are_reported)
{
    MergedTimeline merged;
    merged.add("a", R"({"node":"entry","lost":3,"events":[
        {"clock":65536,"kind":"request_arrived","request":"r1","attempt":1,"subject":"","detail":""},
        {"clock":65539,"kind":"first_token","request":"r1","attempt":1,"subject":"engine","detail":""}]})");
    merged.add("b", R"({"node":"engine","lost":0,"events":[
        {"clock":65537,"kind":"place_granted","request":"r1","attempt":1,"subject":"entry","detail":""}]})");
    BOOST_TEST(!merged.add("10.0.0.1:1", "nonsense"));
    merged.sort();
    BOOST_REQUIRE(merged.events.size() == 3u);
    BOOST_TEST(merged.events[1].kind == "place_granted");
    BOOST_TEST(merged.text().find("3 lost") != std::string::npos);
    BOOST_TEST(merged.text().find("missing: 10.0.0.1:1") != std::string::npos);
    auto trace = boost::json::parse(merged.traceEvents()).as_object();
    // Names of two processes and two threads, and three events.
    BOOST_TEST(trace.at("traceEvents").as_array().size() == 7u);
}

BOOST_AUTO_TEST_SUITE_END()
