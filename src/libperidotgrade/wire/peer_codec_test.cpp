// Tests of the codec of shared observations: guards against lost fields and against datagrams that crash an
// entry.
#include "peridotgrade/wire/peer_codec.h"

#include "peridotgrade/core/admission/quota_grant.h"
#include "peridotgrade/wire/quota_codec.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

const RoleNotice Role { ServerId { "i-1" }, WallTime { 1'790'000'000'123ms }, ServerRole::Decode, 6000ms };
const EndNotice End { ServerId { "i-2" }, WallTime { 1'790'000'000'456ms } };

/// As many entries as one datagram may have.
PaceDigest fullDigest()
{
    PaceDigest digest;
    for (int index = 0; index < 24; ++index)
        digest.entries.push_back({ ServerId { "i-01234567" + std::to_string(10 + index) },
            WallTime { 1'790'000'000'000ms }, PaceSample::Event, -3.25, 59.5 });
    return digest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerCodecTest)

BOOST_AUTO_TEST_CASE(messagesRoundTrip)
{
    auto role = decodePeerMessage(encodePeerMessage(Role));
    BOOST_REQUIRE(role && std::holds_alternative<RoleNotice>(*role));
    BOOST_TEST(std::get<RoleNotice>(*role).server == Role.server);
    BOOST_TEST((std::get<RoleNotice>(*role).startedAt == Role.startedAt));
    BOOST_TEST((std::get<RoleNotice>(*role).role == ServerRole::Decode));
    BOOST_TEST((std::get<RoleNotice>(*role).duration == 6000ms));
    auto end = decodePeerMessage(encodePeerMessage(End));
    BOOST_REQUIRE(end && std::holds_alternative<EndNotice>(*end));
    BOOST_TEST(std::get<EndNotice>(*end).server == End.server);
    BOOST_TEST((std::get<EndNotice>(*end).startedAt == End.startedAt));
    std::string bytes = encodePeerMessage(fullDigest());
    BOOST_TEST(bytes.size() <= MaxPeerMessageBytes);
    auto digest = decodePeerMessage(bytes);
    BOOST_REQUIRE(digest && std::holds_alternative<PaceDigest>(*digest));
    const auto& entries = std::get<PaceDigest>(*digest).entries;
    BOOST_REQUIRE(entries.size() == 24U);
    BOOST_TEST(entries[23].server.raw() == "i-0123456733");
    BOOST_TEST((entries[23].kind == PaceSample::Event));
    BOOST_TEST(entries[23].meanLog == -3.25);
    BOOST_TEST(entries[23].weight == 59.5);
}

BOOST_AUTO_TEST_CASE(quotaMessagesAreNotTakenForNotices)
{
    // Guards against a first byte that messages on quotas have too.
    std::string quota = encodeQuotaMessage(QuotaGrant { 1, TenantId { "t" }, 1, 0ms, true });
    BOOST_TEST(!decodePeerMessage(quota).has_value());
    BOOST_TEST(static_cast<std::uint8_t>(quota[0]) != PeerMessageVersion);
    for (const PeerMessage& message : { PeerMessage { Role }, PeerMessage { End } })
        BOOST_TEST(!decodeQuotaMessage(encodePeerMessage(message)).has_value());
}

BOOST_AUTO_TEST_CASE(unknownTypesAndEnumeratorsAreRejected)
{
    std::string bytes = encodePeerMessage(End);
    bytes[1] = 4;
    BOOST_TEST(!decodePeerMessage(bytes).has_value());
    bytes = encodePeerMessage(End);
    bytes[0] = static_cast<char>(PeerMessageVersion + 0x10);
    BOOST_TEST(!decodePeerMessage(bytes).has_value());
    RoleNotice wrongRole = Role;
    wrongRole.role = static_cast<ServerRole>(7);
    BOOST_TEST(!decodePeerMessage(encodePeerMessage(wrongRole)).has_value());
    RoleNotice endless = Role;
    endless.duration = std::chrono::milliseconds::max();
    BOOST_TEST(!decodePeerMessage(encodePeerMessage(endless)).has_value());
    PaceDigest wrongKind = fullDigest();
    wrongKind.entries[3].kind = static_cast<PaceSample>(3);
    BOOST_TEST(!decodePeerMessage(encodePeerMessage(wrongKind)).has_value());
    BOOST_TEST(!decodePeerMessage(encodePeerMessage(EndNotice {})).has_value());
}

BOOST_AUTO_TEST_CASE(hostileBytesAreRejected)
{
    std::mt19937 random(3);
    for (const PeerMessage& message :
        { PeerMessage { Role }, PeerMessage { End }, PeerMessage { fullDigest() } }) {
        std::string good = encodePeerMessage(message);
        for (std::size_t size = 0; size < good.size(); ++size)
            BOOST_TEST(!decodePeerMessage(good.substr(0, size)).has_value());
        for (int round = 0; round < 20'000; ++round) {
            std::string changed = good;
            for (int each = 0; each < 3; ++each)
                changed[random() % changed.size()] = static_cast<char>(random());
            decodePeerMessage(changed);
        }
    }
    BOOST_TEST(!decodePeerMessage(std::string(5000, static_cast<char>(PeerMessageVersion))).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
