// Tests of the retry budget that all entries share.
#include "peridotgrade/core/serving/retry_budget_share.h"

#include "peridotgrade/core/base/random_source.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace peridotgrade;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RetryBudgetShareTest)

BOOST_AUTO_TEST_CASE(spendsNothingWithoutRequestsAndShare)
{
    RetryBudgetShare share(RetryBudgetLimits { 0.2, 52, 10s });
    BOOST_TEST(!share.trySpend(TimePoint { 1s }));
    share.setShare(1, TimePoint { 1s });
    BOOST_TEST(share.trySpend(TimePoint { 11s }));
}

BOOST_AUTO_TEST_CASE(firstShareBringsAFewRetriesAtOnce)
{
    RetryBudgetShare share(RetryBudgetLimits { 0, 52, 10s });
    share.setShare(0.5, TimePoint { 1s });
    BOOST_TEST(share.trySpend(TimePoint { 1s }));
    BOOST_TEST(share.trySpend(TimePoint { 1s }));
    BOOST_TEST(!share.trySpend(TimePoint { 1s }));
}

BOOST_AUTO_TEST_CASE(shareThatIsGainedBringsNothingThatItsFormerHolderMayHaveSpent)
{
    RetryBudgetShare share(RetryBudgetLimits { 0, 52, 10s });
    share.setShare(0.01, TimePoint { 1s });
    share.setShare(1, TimePoint { 1s });
    BOOST_TEST(!share.trySpend(TimePoint { 1s }));
    share.setShare(0, TimePoint { 11s });
    share.setShare(1, TimePoint { 11s });
    BOOST_TEST(!share.trySpend(TimePoint { 11s }));
}

BOOST_AUTO_TEST_CASE(bucketRefillsOnceInAWindow)
{
    RetryBudgetShare share(RetryBudgetLimits { 0, 2 / RetryBudgetShare::UsableExtra, 10s });
    share.setShare(1, TimePoint { 1s });
    BOOST_TEST(share.trySpend(TimePoint { 11s }));
    BOOST_TEST(share.trySpend(TimePoint { 11s }));
    BOOST_TEST(!share.trySpend(TimePoint { 15s }));
    BOOST_TEST(share.trySpend(TimePoint { 16100ms }));
    BOOST_TEST(!share.trySpend(TimePoint { 20s }));
    BOOST_TEST(share.trySpend(TimePoint { 21200ms }));
}

BOOST_AUTO_TEST_CASE(ratioAndBucketPayForARetryTogether)
{
    RetryBudgetShare share(RetryBudgetLimits { 0.2 / RetryBudgetShare::UsableRatio, 1, 10s });
    share.setShare(1, TimePoint { 1s });
    for (int request = 0; request < 4; ++request)
        share.recordRequest(TimePoint { 11s });
    BOOST_TEST(share.trySpend(TimePoint { 11s }));
    BOOST_TEST(share.left(TimePoint { 11s }) < 0.3);
}

BOOST_AUTO_TEST_CASE(keepsAPartForTheMostUrgent)
{
    // A failure of many servers must not leave the most valuable requests without a retry.
    RetryBudgetShare share(RetryBudgetLimits { 0, 10 / RetryBudgetShare::UsableExtra, 10s });
    share.setShare(1, TimePoint { 0s });
    const TimePoint now { 20s };
    auto spendAll = [&](std::uint32_t urgency) {
        int spent = 0;
        while (share.trySpend(now, urgency))
            ++spent;
        return spent;
    };
    share.recordRequest(now, 1);
    share.recordRequest(now, 0);
    BOOST_TEST(spendAll(1) == 7);
    BOOST_TEST(spendAll(0) == 3);
}

BOOST_AUTO_TEST_CASE(keepsNothingWhereAllAreEquallyUrgent)
{
    RetryBudgetShare share(RetryBudgetLimits { 0, 10 / RetryBudgetShare::UsableExtra, 10s });
    share.setShare(1, TimePoint { 0s });
    share.recordRequest(TimePoint { 20s }, 4);
    BOOST_TEST(share.left(TimePoint { 20s }, 4) == 10);
}

namespace {

// Shares move between entries in the middle of a window, as when entries join and leave.
void checkThatEntriesStayWithinTheBounds(int stepsBetweenMoves)
{
    constexpr std::size_t Entries = 7;
    constexpr RetryBudgetLimits Limits { 0.2, 52, 10s };
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        RandomSource random(seed);
        std::vector<RetryBudgetShare> shares(Entries, RetryBudgetShare(Limits));
        std::vector<TimePoint> requests;
        std::vector<TimePoint> retries;
        for (int step = 0; step < 4000; ++step) {
            TimePoint now { 10ms * step };
            if (step % stepsBetweenMoves == 0) {
                std::size_t holders = 1 + random.below(Entries);
                for (std::size_t entry = 0; entry < Entries; ++entry)
                    shares[entry].setShare(entry < holders ? 1.0 / static_cast<double>(holders) : 0, now);
            }
            RetryBudgetShare& share = shares[random.below(Entries)];
            if (random.below(4) == 0) {
                share.recordRequest(now);
                requests.push_back(now);
            } else if (share.trySpend(now)) {
                retries.push_back(now);
            }
            auto within = [&](const std::vector<TimePoint>& times) {
                return std::count_if(
                    times.begin(), times.end(), [&](TimePoint time) { return time + Limits.window > now; });
            };
            if (step % 50 == 0) {
                double bound = Limits.ratio * static_cast<double>(within(requests)) + Limits.extra;
                BOOST_REQUIRE_LE(static_cast<double>(within(retries)), bound);
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(allEntriesTogetherStayWithinTheBounds) { checkThatEntriesStayWithinTheBounds(1000); }

BOOST_AUTO_TEST_CASE(sharesThatMoveManyTimesInAWindowAreNotSpentEachTime)
{
    checkThatEntriesStayWithinTheBounds(100);
    checkThatEntriesStayWithinTheBounds(20);
}

BOOST_AUTO_TEST_SUITE_END()
