// Tests of what counts against the retry budget.
#include "peridotgrade/core/serving/further_sends.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

/// A budget of exactly one further send.
RetryShare budgetOfOne()
{
    RetryShare share(RetryBounds { 0, 1 / RetryShare::UsableExtra, 10s });
    share.setPart(1);
    return share;
}

constexpr TimePoint Now { 100s };

} // namespace

BOOST_AUTO_TEST_SUITE(FurtherSendsTest)

BOOST_AUTO_TEST_CASE(sendsThatReachedNoServerCostNothing)
{
    RetryShare budget = budgetOfOne();
    FurtherSends sends(budget);
    for (int refusedConnections = 0; refusedConnections < 5; ++refusedConnections) {
        BOOST_TEST(sends.tryPrefill(Now));
        BOOST_TEST(sends.tryRun(Now));
    }
    sends.notePrefillReached();
    BOOST_TEST(sends.tryPrefill(Now));
    sends.notePrefillReached();
    BOOST_TEST(!sends.tryPrefill(Now));
}

BOOST_AUTO_TEST_CASE(firstRunIsFreeAfterSeveralPrefills)
{
    RetryShare budget = budgetOfOne();
    FurtherSends sends(budget);
    sends.notePrefillReached();
    BOOST_TEST(sends.tryPrefill(Now));
    sends.notePrefillReached();
    BOOST_TEST(sends.tryRun(Now));
    BOOST_TEST(!sends.isRunFurther());
    sends.noteRunReached();
    BOOST_TEST(sends.isRunFurther());
    BOOST_TEST(!sends.tryRun(Now));
}

BOOST_AUTO_TEST_CASE(requestsOfOneServiceShareItsBudget)
{
    RetryShare budget = budgetOfOne();
    FurtherSends one(budget);
    FurtherSends other(budget);
    one.noteRunReached();
    other.noteRunReached();
    BOOST_TEST(one.tryRun(Now));
    BOOST_TEST(!other.tryRun(Now));
}

BOOST_AUTO_TEST_SUITE_END()
