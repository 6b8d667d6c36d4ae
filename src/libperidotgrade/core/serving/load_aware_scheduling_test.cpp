// Tests of when scheduling is load-aware.
#include "peridotgrade/core/serving/load_aware_scheduling.h"

#include <boost/test/unit_test.hpp>

#include <string_view>

using namespace peridotgrade;

BOOST_AUTO_TEST_SUITE(LoadAwareSchedulingTest)

// Guards against a changed placement in deployments that have not asked for it.
BOOST_AUTO_TEST_CASE(deploymentsWithoutTenantsAndSlownessReportsAreServedAsBefore)
{
    BOOST_TEST(loadAwareReason(LoadAwareScheduling::Auto, false, false).empty());
    BOOST_TEST(loadAwareReason(LoadAwareScheduling::Auto, true, true) == "tenants");
    BOOST_TEST(loadAwareReason(LoadAwareScheduling::Auto, false, true) == "slowness_reports");
}

BOOST_AUTO_TEST_CASE(theSettingDecidesAgainstWhatTheDeploymentShows)
{
    BOOST_TEST(loadAwareReason(LoadAwareScheduling::On, false, false) == "setting");
    BOOST_TEST(loadAwareReason(LoadAwareScheduling::Off, true, true).empty());
}

BOOST_AUTO_TEST_CASE(namesAreReadAsWritten)
{
    for (auto mode : { LoadAwareScheduling::Auto, LoadAwareScheduling::On, LoadAwareScheduling::Off })
        BOOST_TEST((loadAwareSchedulingFrom(nameOf(mode)) == mode));
    BOOST_TEST(!loadAwareSchedulingFrom("yes").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
