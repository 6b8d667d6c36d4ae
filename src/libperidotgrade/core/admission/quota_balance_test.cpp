// Tests of the balance of a tenant at an entry.
#include "peridotgrade/core/admission/quota_balance.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

constexpr TenantQuota Quota { QuotaUnit::Tokens, 1000, 1000, 1 };

/// An entry with a tenth of the partitions and a holder that the test plays.
struct BalanceFixture {
    BalanceFixture()
    {
        this->balance.setShare(0.1, this->now);
        this->balance.setHolder("h", this->now);
    }

    QuotaDecision admit(double tokens, std::uint32_t priority = 0)
    {
        return this->balance.admit(tokens, { priority, 0 }, this->now);
    }
    bool isAdmitted(double tokens) { return std::holds_alternative<QuotaSource>(this->admit(tokens)); }
    void grant(double tokens, std::chrono::milliseconds retryAfter = 0ms, bool isHolder = true)
    {
        this->balance.accept("h",
            { this->sent.back().requestId, TenantId { "mills" }, tokens, retryAfter, isHolder }, this->now);
    }
    void pass(Duration time)
    {
        this->now += time;
        this->balance.advance(this->now);
    }
    bool isServed(const QuotaDecision& decision) const
    {
        auto found = this->results.find(std::get<QuotaTicket>(decision));
        return found != this->results.end() && std::holds_alternative<QuotaSource>(found->second);
    }

    TimePoint now { 10s };
    std::vector<QuotaRequest> sent;
    std::map<QuotaTicket, QuotaResult> results;
    QuotaBalance balance { TenantId { "mills" }, "me", Quota, now,
        { [this](const std::string&, const QuotaRequest& request) { this->sent.push_back(request); },
            [this](QuotaTicket ticket, const QuotaResult& result) { this->results[ticket] = result; } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QuotaBalanceTest, BalanceFixture)

// Guards against a question for each request, and against less urgent requests that go first.
BOOST_AUTO_TEST_CASE(requestsThatWaitShareAQuestion)
{
    auto first = this->admit(100);
    auto second = this->admit(200, 3);
    auto urgent = this->admit(150, 1);
    BOOST_TEST(this->sent.size() == 1U);
    BOOST_TEST(this->sent[0].needed == 100);
    this->grant(100);
    BOOST_TEST(this->isServed(first));
    BOOST_TEST(this->sent.size() == 2U);
    BOOST_TEST(this->sent[1].needed == 150);
    BOOST_TEST(this->sent[1].tokens >= 350);
    this->grant(200);
    BOOST_TEST(this->isServed(urgent));
    BOOST_TEST(!this->isServed(second));
    BOOST_TEST(this->isAdmitted(50));
}

// Guards against waits of plain calls, and against credit without an end.
BOOST_AUTO_TEST_CASE(smallRequestsAreServedOnCredit)
{
    BOOST_TEST(this->isAdmitted(6));
    BOOST_TEST(!this->isAdmitted(6));
    BOOST_TEST(this->sent.size() == 1U);
    BOOST_TEST(this->sent[0].needed == 6);
    this->grant(0, 500ms);
    BOOST_TEST(this->results.size() == 1U);
    BOOST_TEST(!this->isAdmitted(1));
}

// Guards against a question for every request of a tenant that is far over its limit.
BOOST_AUTO_TEST_CASE(refusesWithoutAQuestionUntilTheHolderMayGrant)
{
    auto waiting = this->admit(100);
    this->grant(0, 400ms);
    BOOST_TEST((std::get<QuotaRefusal>(this->results.at(std::get<QuotaTicket>(waiting))).wait == 400ms));
    this->pass(300ms);
    BOOST_TEST((std::get<QuotaRefusal>(this->admit(120)).wait == 100ms));
    BOOST_TEST(this->sent.size() == 1U);
    // A smaller request may still fit.
    BOOST_TEST(std::holds_alternative<QuotaTicket>(this->admit(50)));
    BOOST_TEST(this->sent.size() == 2U);
    this->grant(50);
    this->pass(100ms);
    BOOST_TEST(std::holds_alternative<QuotaTicket>(this->admit(120)));
}

// Guards against requests that wait for a holder that is gone, lost grants, and an excess from the own share.
BOOST_AUTO_TEST_CASE(ownShareIsUsedWhileTheHolderIsSilent)
{
    auto waiting = this->admit(40);
    this->pass(20ms);
    this->pass(20ms);
    BOOST_TEST(this->sent.size() == 3U);
    BOOST_TEST(this->results.empty());
    this->pass(20ms);
    BOOST_TEST(this->isServed(waiting));
    BOOST_TEST(this->balance.isOnOwnShare());
    // Half of a tenth of the burst, of which 40 are used.
    BOOST_TEST(this->isAdmitted(10));
    auto refused = this->admit(40);
    BOOST_TEST((std::get<QuotaRefusal>(refused).source == QuotaSource::OwnShare));
    for (int step = 0; step < 500; ++step)
        this->pass(10ms);
    BOOST_TEST(this->sent.size() >= 8U);
    BOOST_TEST(this->sent.size() <= 11U, "repeats back off");
    for (const QuotaRequest& each : this->sent)
        BOOST_TEST(each.requestId == 1U);
    this->balance.accept("other", { 1, TenantId { "mills" }, 1000, {}, true }, this->now);
    this->balance.accept("h", { 77, TenantId { "mills" }, 1000, {}, true }, this->now);
    BOOST_TEST(this->balance.isOnOwnShare(), "answers of others and to other questions are ignored");
    this->grant(40);
    BOOST_TEST(!this->balance.isOnOwnShare());
    BOOST_TEST(this->isAdmitted(40));
}

// Guards against tokens that an entry keeps or uses after a pause.
BOOST_AUTO_TEST_CASE(unusedTokensAreReturned)
{
    this->admit(100);
    this->grant(130);
    this->now += 5s;
    BOOST_TEST(!this->isAdmitted(25));
    BOOST_TEST(this->sent[1].returned == 30);
    this->grant(25);
    this->pass(990ms);
    BOOST_TEST(this->sent.size() == 2U);
    this->pass(10ms);
    BOOST_TEST(this->sent.size() == 3U);
    BOOST_TEST(this->sent[2].tokens == 0, "the holder learns that there is no traffic");
    this->grant(0);
    BOOST_TEST(!this->balance.nextDue().has_value());
}

// Guards against a second burst after a hand-over, and against requests that wait for the former holder.
BOOST_AUTO_TEST_CASE(newHolderLearnsWhatWasUsed)
{
    this->admit(400);
    this->grant(420);
    auto waiting = this->admit(300);
    this->balance.setHolder("h2", this->now);
    BOOST_TEST(this->sent.back().recentlyUsed == 420);
    this->balance.accept(
        "h2", { this->sent.back().requestId, TenantId { "mills" }, 300, {}, true }, this->now);
    BOOST_TEST(this->isServed(waiting));
    this->balance.setHolder(std::nullopt, this->now);
    BOOST_TEST(this->isAdmitted(20));
    BOOST_TEST((std::get<QuotaSource>(this->admit(30)) == QuotaSource::OwnShare));
}

// Guards against requests that did not run and count, and against refunds that are spent in a later window.
BOOST_AUTO_TEST_CASE(refundsServeOtherRequests)
{
    this->admit(40);
    this->grant(40);
    this->balance.refund(QuotaSource::Balance, 40, this->now, this->now);
    BOOST_TEST(this->isAdmitted(40));
    TimePoint charged = this->now;
    this->now += 900ms;
    this->balance.refund(QuotaSource::Balance, 40, charged, this->now);
    BOOST_TEST(!this->isAdmitted(40));
}

// Guards against a share that brings a burst each time it moves.
BOOST_AUTO_TEST_CASE(shareThatIsGainedBringsNoTokens)
{
    this->balance.setHolder(std::nullopt, this->now);
    BOOST_TEST(this->isAdmitted(50));
    this->balance.setShare(0, this->now);
    BOOST_TEST(!this->isAdmitted(1));
    this->balance.setShare(0.1, this->now);
    BOOST_TEST(!this->isAdmitted(50));
}

// Guards against retries, whose answers are late, that take tokens from first attempts at the limit.
BOOST_AUTO_TEST_CASE(retriesAreRefusedWhileFirstAttemptsAre)
{
    BOOST_TEST(!this->balance.refuseRetry(this->now));
    this->admit(500);
    BOOST_TEST(!this->balance.refuseRetry(this->now), "a first attempt that waits is not refused yet");
    this->grant(0, 100ms);
    BOOST_TEST(this->balance.refuseRetry(this->now).has_value());
    this->pass(QuotaBalance::AtLimitTime);
    BOOST_TEST(!this->balance.refuseRetry(this->now), "the tenant is below its limit again");
}

BOOST_AUTO_TEST_SUITE_END()
