// Tests of what counts against the retry budget.
#include "peridotgrade/core/serving/retry_accounting.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now { 100s };

/// A budget of exactly one retry, held for a window.
RetryBudgetShare budgetOfOneRetry()
{
    RetryBudgetShare share(RetryBudgetLimits { 0, 1 / RetryBudgetShare::UsableExtra, 10s });
    share.setShare(1, Now - 10s);
    return share;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryAccountingTest)

BOOST_AUTO_TEST_CASE(sendsThatReachedNoServerCostNothing)
{
    RetryBudgetShare budget = budgetOfOneRetry();
    RetryAccounting accounting(budget);
    for (int refusedConnections = 0; refusedConnections < 5; ++refusedConnections) {
        BOOST_TEST(accounting.tryPrefill(Now));
        BOOST_TEST(accounting.tryRun(Now));
    }
    accounting.notePrefillReached();
    BOOST_TEST(accounting.tryPrefill(Now));
    accounting.notePrefillReached();
    BOOST_TEST(!accounting.tryPrefill(Now));
}

BOOST_AUTO_TEST_CASE(firstRunIsFreeAfterSeveralPrefills)
{
    RetryBudgetShare budget = budgetOfOneRetry();
    RetryAccounting accounting(budget);
    accounting.notePrefillReached();
    BOOST_TEST(accounting.tryPrefill(Now));
    accounting.notePrefillReached();
    BOOST_TEST(accounting.tryRun(Now));
    BOOST_TEST(!accounting.isNextRunRetry());
    accounting.noteRunReached();
    BOOST_TEST(accounting.isNextRunRetry());
    BOOST_TEST(!accounting.tryRun(Now));
}

BOOST_AUTO_TEST_CASE(requestsOfOneServiceShareItsBudget)
{
    RetryBudgetShare budget = budgetOfOneRetry();
    RetryAccounting one(budget);
    RetryAccounting other(budget);
    one.noteRunReached();
    other.noteRunReached();
    BOOST_TEST(one.tryRun(Now));
    BOOST_TEST(!other.tryRun(Now));
}

BOOST_AUTO_TEST_CASE(aRoundIsCoveredOnlyIfItsPrefillAndItsRunAre)
{
    // After a run that the engine rejected, both are retries. With one left, the run was paid, memory was
    // reserved, and the prefill was then refused.
    RetryBudgetShare budget = budgetOfOneRetry();
    RetryAccounting accounting(budget);
    BOOST_TEST(accounting.coversRound(true, Now));
    accounting.notePrefillReached();
    BOOST_TEST(accounting.coversRound(true, Now));
    accounting.noteRunReached();
    BOOST_TEST(!accounting.coversRound(true, Now));
    BOOST_TEST(accounting.coversRound(false, Now));
}

BOOST_AUTO_TEST_SUITE_END()
