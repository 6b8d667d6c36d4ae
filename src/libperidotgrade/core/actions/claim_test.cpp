// Tests of the claim codec and of the rule that decides between claims.
#include "claim_replica.h"
#include "test_keys.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace peridotgrade::testing;

namespace {

Claim claimOf(std::uint64_t nonce, std::optional<ClaimNonce> supersedes = std::nullopt)
{
    Claim claim;
    claim.key = keyAt(DayStart, 1);
    claim.entry = EntryId { "entry-1/0" };
    claim.nonce = ClaimNonce { nonce };
    claim.agent = AgentId { "app-" + std::to_string(nonce) };
    claim.agentIncarnation = Incarnation { ~0ULL };
    claim.supersedes = supersedes;
    claim.content = Fingerprint { 99 };
    return claim;
}

} // namespace

BOOST_AUTO_TEST_SUITE(claim)

BOOST_AUTO_TEST_CASE(decoding_gives_back_what_was_encoded)
{
    for (const Claim& claim : { claimOf(1), claimOf(2, ClaimNonce { 1 }) }) {
        auto decoded = decodeClaim(encodeClaim(claim));
        BOOST_REQUIRE(std::holds_alternative<Claim>(decoded));
        const Claim& copy = std::get<Claim>(decoded);
        BOOST_TEST((copy.key == claim.key && copy.entry == claim.entry && copy.nonce == claim.nonce));
        BOOST_TEST((copy.agent == claim.agent && copy.agentIncarnation == claim.agentIncarnation));
        BOOST_TEST((copy.supersedes == claim.supersedes && copy.content == claim.content));
    }
}

BOOST_AUTO_TEST_CASE(malformed_records_are_errors)
{
    std::string good = encodeClaim(claimOf(2, ClaimNonce { 1 }));
    for (std::size_t length = 0; length < good.size(); ++length)
        BOOST_TEST(std::holds_alternative<ClaimFormatError>(decodeClaim(good.substr(0, length))));
    for (const char* data : { "[]", "{}", R"({"key":1})" })
        BOOST_TEST(std::holds_alternative<ClaimFormatError>(decodeClaim(data)));
}

BOOST_AUTO_TEST_CASE(the_first_claim_wins_and_only_its_successor_replaces_it)
{
    ClaimReplica replica;
    const IdempotencyKey key = claimOf(1).key;
    BOOST_TEST(!replica.apply(claimOf(9, ClaimNonce { 8 })));
    BOOST_TEST(replica.apply(claimOf(1)));
    BOOST_TEST(!replica.apply(claimOf(2)));
    BOOST_TEST(replica.apply(claimOf(3, ClaimNonce { 1 })));
    BOOST_TEST(!replica.apply(claimOf(4, ClaimNonce { 1 })));
    BOOST_TEST(!replica.apply(claimOf(1)));
    BOOST_TEST((replica.find(key)->current.nonce == ClaimNonce { 3 }));
    BOOST_TEST(replica.find(key)->namedIncarnations.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_claim_of_a_forgotten_key_is_not_a_first_one)
{
    ClaimReplica replica;
    replica.apply(claimOf(1));
    replica.forgetUpTo(DayStart);
    BOOST_TEST(!replica.apply(claimOf(2)));
    BOOST_TEST(!replica.find(claimOf(1).key));
}

BOOST_AUTO_TEST_SUITE_END()
