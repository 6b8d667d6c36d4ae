// Tests of the division of a process's memory.
#include "peridotgrade/gateway/memory_budgets.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

BOOST_AUTO_TEST_SUITE(MemoryBudgetsTest)

// Deployments whose settings name no limit are served as before.
BOOST_AUTO_TEST_CASE(withoutALimitOnlyAnswersAreBounded)
{
    MemoryBudgets budgets = memoryBudgetsFor(std::nullopt);
    BOOST_TEST(!budgets.requestBytes.has_value());
    BOOST_TEST(budgets.answerBytes == 24U * 1024 * 1024);
    BOOST_TEST(budgets.socketBufferBytes == 0U);
}

BOOST_AUTO_TEST_CASE(bodiesAndAnswersTakeHalfOfTheLimit)
{
    for (std::uint32_t megabytes : { 32U, 88U, 4000U, 1'000'000U }) {
        MemoryBudgets budgets = memoryBudgetsFor(megabytes);
        BOOST_TEST(*budgets.requestBytes + budgets.answerBytes == megabytes * 500'000ULL);
        BOOST_TEST(budgets.socketBufferBytes >= 32U * 1024);
        BOOST_TEST(budgets.socketBufferBytes <= 512U * 1024);
    }
}

BOOST_AUTO_TEST_SUITE_END()
