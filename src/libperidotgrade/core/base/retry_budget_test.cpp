// Tests of the bound that the retry budget sets.
#include "peridotgrade/core/base/retry_budget.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

BOOST_AUTO_TEST_SUITE(retry_budget)

BOOST_AUTO_TEST_CASE(retries_stay_within_share_of_successes_plus_reserve)
{
    RetryBudget budget(0.1, 5.0);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.recordSuccess();
        while (budget.trySpend())
            ++retries;
    }
    BOOST_TEST(retries <= 105);
    BOOST_TEST(retries >= 99);
}

BOOST_AUTO_TEST_CASE(without_successes_only_the_reserve_is_spent)
{
    RetryBudget budget(0.1, 3.0);
    int retries = 0;
    while (budget.trySpend())
        ++retries;
    BOOST_TEST(retries == 3);
}

BOOST_AUTO_TEST_SUITE_END()
