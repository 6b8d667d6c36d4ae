// Tests of what names of members tell.
#include "peridotgrade/core/admission/quota_group.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace peridotgrade;

BOOST_AUTO_TEST_SUITE(QuotaGroupTest)

// Guards against an entry that ends the membership of another running one.
BOOST_AUTO_TEST_CASE(onlyEarlierProcessesOfThePlaceArePredecessors)
{
    const std::string own = "front-1/7@10.0.0.1:7260";
    QuotaGroup group({ "front-1/5@10.0.0.1:7260", own, "front-2/5@10.0.0.2:7260",
        // The same name on another machine, which may still run.
        "front-1/6@10.0.0.9:7260", "front-11/5@10.0.0.1:7260", "front-1/4", "" });
    std::vector<std::string> expected { "front-1/5@10.0.0.1:7260" };
    BOOST_TEST(group.predecessorsOf(own) == expected, boost::test_tools::per_element());
    BOOST_TEST(group.predecessorsOf("front-1/7").empty());
}

BOOST_AUTO_TEST_SUITE_END()
