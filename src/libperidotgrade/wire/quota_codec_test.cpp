// Tests of the codec of quota messages: guards against lost fields, and against datagrams that crash an entry
// or give it numbers that no entry sends.
#include "peridotgrade/wire/quota_codec.h"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <random>

using namespace peridotgrade;

namespace {

const QuotaRequest Request { 7, "e/1@10.0.0.1:9", 12, TenantId { "mills" }, 5000.5, 4000, 4500, 30, 187'000 };
const QuotaGrant Grant { 7, TenantId { "mills" }, 4000, std::chrono::milliseconds { 25 }, true };

} // namespace

BOOST_AUTO_TEST_SUITE(QuotaCodecTest)

BOOST_AUTO_TEST_CASE(messagesRoundTrip)
{
    auto request = decodeQuotaMessage(encodeQuotaMessage(Request));
    BOOST_REQUIRE(request && std::holds_alternative<QuotaRequest>(*request));
    const auto& read = std::get<QuotaRequest>(*request);
    BOOST_TEST(read.requestId == 7U);
    BOOST_TEST(read.member == Request.member);
    BOOST_TEST(read.configVersion == 12U);
    BOOST_TEST(read.tenant == Request.tenant);
    BOOST_TEST(read.tokens == 5000.5);
    BOOST_TEST(read.needed == 4000);
    BOOST_TEST(read.waiting == 4500);
    BOOST_TEST(read.returned == 30);
    BOOST_TEST(read.recentlyUsed == 187'000);
    auto grant = decodeQuotaMessage(encodeQuotaMessage(Grant));
    BOOST_REQUIRE(grant && std::holds_alternative<QuotaGrant>(*grant));
    BOOST_TEST(std::get<QuotaGrant>(*grant).requestId == 7U);
    BOOST_TEST(std::get<QuotaGrant>(*grant).tokens == 4000);
    BOOST_TEST((std::get<QuotaGrant>(*grant).retryAfter == Grant.retryAfter));
    BOOST_TEST(std::get<QuotaGrant>(*grant).isHolder);
}

BOOST_AUTO_TEST_CASE(numbersOutOfRangeAreRejected)
{
    for (double bad : { -1.0, 1e16, std::numeric_limits<double>::infinity(), std::nan("") }) {
        QuotaRequest request = Request;
        request.returned = bad;
        BOOST_TEST(!decodeQuotaMessage(encodeQuotaMessage(request)).has_value(), bad);
        QuotaGrant grant = Grant;
        grant.tokens = bad;
        BOOST_TEST(!decodeQuotaMessage(encodeQuotaMessage(grant)).has_value(), bad);
    }
    QuotaGrant late = Grant;
    late.retryAfter = std::chrono::milliseconds::max();
    BOOST_TEST(!decodeQuotaMessage(encodeQuotaMessage(late)).has_value());
}

BOOST_AUTO_TEST_CASE(hostileBytesAreRejected)
{
    std::mt19937 random(3);
    for (const std::string& good : { encodeQuotaMessage(Request), encodeQuotaMessage(Grant) }) {
        for (std::size_t size = 0; size < good.size(); ++size)
            BOOST_TEST(!decodeQuotaMessage(good.substr(0, size)).has_value());
        for (int round = 0; round < 20'000; ++round) {
            std::string changed = good;
            for (int each = 0; each < 3; ++each)
                changed[random() % changed.size()] = static_cast<char>(random());
            decodeQuotaMessage(changed);
        }
    }
    BOOST_TEST(!decodeQuotaMessage(std::string(5000, 'x')).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
