// Tests of the account of a tenant and of who may keep it.
#include "peridotgrade/core/admission/quota_account.h"
#include "peridotgrade/core/admission/quota_holder.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

constexpr TenantQuota Quota { QuotaUnit::Tokens, 100, 1000, 1 };
const TenantId Mills { "mills" };
const QuotaGroup Pair { std::vector<std::string> { "a", "b" } };

TimePoint at(Duration time) { return TimePoint { 10s } + time; }
/// An account of this age has filled by `at(0s)`.
const TimePoint FullAtZero = at(-5s);

QuotaRequest requestOf(
    std::uint64_t id, const char* member, double tokens, double returned = 0, double used = 0)
{
    return { id, member, 1, Mills, tokens, tokens, tokens, returned, used };
}

double granted(QuotaAccount& account, const QuotaRequest& request, Duration time)
{
    auto grant = account.answer(request, Pair, at(time));
    BOOST_REQUIRE(grant.has_value());
    return grant->tokens;
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaAccountTest)

// Guards against a lost answer that is charged twice, and against a late datagram that is.
BOOST_AUTO_TEST_CASE(repeatedRequestIsChargedOnce)
{
    QuotaAccount account(Quota, FullAtZero);
    BOOST_TEST(granted(account, requestOf(5, "a", 300, 0, 100), 0s) == 300);
    BOOST_TEST(granted(account, requestOf(5, "a", 300, 0, 100), 0s) == 300);
    BOOST_TEST(account.tokens() == 600);
    BOOST_TEST(!account.answer(requestOf(4, "a", 300), Pair, at(0s)).has_value());
    BOOST_TEST(granted(account, requestOf(6, "a", 0, 200), 0s) == 0);
    BOOST_TEST(granted(account, requestOf(6, "a", 0, 200), 0s) == 0);
    BOOST_TEST(account.tokens() == 800);
}

// Guards against a second burst after a hand-over, and against a debt that no account could have had.
BOOST_AUTO_TEST_CASE(reportsOfMembersAreSubtractedOnceAndUpToTheStart)
{
    QuotaAccount account(Quota, at(0s));
    granted(account, requestOf(1, "a", 0, 0, 300), 0s);
    granted(account, requestOf(2, "a", 0, 0, 300), 0s);
    BOOST_TEST(account.tokens() == QuotaAccount::StartShare * Quota.burst - 300);
    granted(account, requestOf(1, "b", 0, 0, 900), 0s);
    BOOST_TEST(account.tokens() == 0);
}

// Guards against three bursts within a few seconds of entries that are killed and report nothing.
BOOST_AUTO_TEST_CASE(accountThatMovesTwiceGrantsLessThanTwoBursts)
{
    double total = 0;
    for (int holder = 0; holder < 3; ++holder) {
        QuotaAccount account(Quota, at(0s));
        for (std::uint64_t id = 1; id <= 40; ++id)
            total += granted(account, requestOf(id, "a", 50), 0s);
    }
    BOOST_TEST(total > Quota.burst);
    BOOST_TEST(total < 2 * Quota.burst);
}

// Guards against a request that is refused although it fits, and against large ones that never run.
BOOST_AUTO_TEST_CASE(grantsWhatIsNeededAndSaysWhenThereIsMore)
{
    QuotaAccount account(Quota, FullAtZero);
    QuotaRequest ahead = requestOf(1, "a", 950);
    ahead.needed = 10;
    BOOST_TEST(granted(account, ahead, 0s) == 950);
    ahead = requestOf(2, "a", 200);
    ahead.needed = 80;
    BOOST_TEST(
        granted(account, ahead, 0s) == 80, "what is needed overdraws the bucket by a part of the burst");
    auto refused = account.answer(requestOf(3, "a", 60), Pair, at(0s));
    BOOST_TEST(refused->tokens == 0);
    BOOST_TEST((refused->retryAfter == 400ms));
    BOOST_TEST(granted(account, requestOf(4, "a", 60), 400ms) == 60);
    auto large = account.answer(requestOf(5, "a", 5000), Pair, at(10s));
    BOOST_TEST(large->tokens == 0);
    BOOST_TEST(granted(account, requestOf(6, "a", 5000), 10s + large->retryAfter) == 5000);
    granted(account, requestOf(7, "a", 0), 11s);
    BOOST_TEST(granted(account, requestOf(8, "a", 1), 50s) == 0);
    granted(account, requestOf(9, "a", 0), 50s);
    BOOST_TEST(granted(account, requestOf(10, "a", 1), 62s) == 1);
}

// Guards against tokens that lie unused at many entries while requests elsewhere are refused.
BOOST_AUTO_TEST_CASE(halfOfTheBurstIsGrantedToWaitingRequestsOnly)
{
    QuotaAccount account(Quota, FullAtZero);
    QuotaRequest request = requestOf(1, "a", 900);
    request.needed = request.waiting = 200;
    BOOST_TEST(granted(account, request, 0s) == 500);
    request.requestId = 2;
    BOOST_TEST(granted(account, request, 0s) == 200);
}

BOOST_AUTO_TEST_CASE(lowerLimitCutsTheBucketAtOnce)
{
    QuotaAccount account(Quota, FullAtZero);
    account.setQuota({ QuotaUnit::Tokens, 10, 50, 1 }, at(0s));
    BOOST_TEST(account.tokens() == 50);
    granted(account, requestOf(1, "a", 50), 0s);
    granted(account, requestOf(2, "a", 0), 1s);
    BOOST_TEST(account.tokens() == 10);
}

// Guards against an excess while entries with traffic are cut off and use their own shares.
BOOST_AUTO_TEST_CASE(partOfAMemberThatFellSilentIsNotGranted)
{
    QuotaAccount account(Quota, FullAtZero);
    granted(account, requestOf(1, "a", 1000), 0s);
    granted(account, requestOf(1, "b", 10), 0s);
    granted(account, requestOf(2, "a", 0), 4s);
    granted(account, requestOf(3, "a", 0), 8s);
    BOOST_TEST(account.tokens() == 4 * 50 + 4 * 75 - 10, boost::test_tools::tolerance(1e-9));
    granted(account, requestOf(2, "b", 0), 8s);
    granted(account, requestOf(4, "a", 0), 12s);
    BOOST_TEST(account.tokens() == 490 + 400, boost::test_tools::tolerance(1e-9));
}

// Guards against a member that was paused or lost its partition and still grants, or grants from an old
// account.
BOOST_AUTO_TEST_CASE(onlyAConfirmedHolderGrants)
{
    auto configuration = std::make_shared<RoutingConfiguration>();
    configuration->version = ConfigVersion { 3 };
    configuration->tenants = { { Mills, {}, {}, Quota } };
    QuotaHolder holder;
    QuotaRequest request = requestOf(1, "a", 400);
    BOOST_TEST(!holder.answer(request, at(0s))->isHolder);
    holder.setConfiguration(configuration);
    holder.setGroup(&Pair);
    holder.confirm({ { { 0, 1 }, 2, true }, 7, at(0s) });
    BOOST_TEST(holder.answer(request, at(4400ms))->tokens == 400);
    BOOST_TEST(!holder.answer(requestOf(2, "a", 1), at(4500ms))->isHolder);
    // The membership had ended in between: others may have granted all of it.
    holder.confirm({ { { 0, 1 }, 2, true }, 7, at(5s) });
    BOOST_TEST(holder.answer(requestOf(3, "a", 300, 0, 900), at(5s))->tokens == 0);
    holder.confirm({ { {}, 2, true }, 8, at(6s) });
    BOOST_TEST(!holder.answer(requestOf(4, "a", 1), at(6s))->isHolder);
    // The asker has a newer configuration; with an older one the limit has been removed since.
    holder.confirm({ { { 0, 1 }, 2, true }, 9, at(7s) });
    QuotaRequest unknown { 5, "a", 4, TenantId { "new" }, 70, 70, 70 };
    BOOST_TEST(!holder.answer(unknown, at(7s))->isHolder);
    unknown.configVersion = 3;
    BOOST_TEST(holder.answer(unknown, at(7s))->tokens == 70);
}

BOOST_AUTO_TEST_SUITE_END()
