// Tests of the bounds of shared observations.
#include "peridotgrade/core/serving/peer_observations.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>
#include <set>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    Fixture()
    {
        for (int index = 0; index < 6; ++index) {
            ServerRecord record;
            record.id = ServerId { std::to_string(index) };
            record.service = ServiceId { "model" };
            record.startedAt = WallTime { 5s };
            servers[record.id] = record;
        }
    }

    ServerLookup find = [this](const ServerId& id) {
        auto found = servers.find(id);
        return found == servers.end() ? nullptr : &found->second;
    };
    const ServerRecord& server(const std::string& id) { return servers.at(ServerId { id }); }
    RoleNotice role(const std::string& id, std::chrono::milliseconds duration = 4s)
    {
        return { ServerId { id }, WallTime { 5s }, ServerRole::Decode, duration };
    }
    /// Prefills of one server of six take a third of the time.
    PaceDigest digest(double weight = 10)
    {
        PaceDigest result;
        for (const auto& [id, record] : servers)
            result.entries.push_back({ id, record.startedAt, PaceSample::Prefill,
                std::log(id.raw() == "3" ? 0.033 : 0.1), weight });
        return result;
    }

    std::map<ServerId, ServerRecord> servers;
    PeerObservations observations;
    ServerPace pace;
    TimePoint now { 100s };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerObservationsTest, Fixture)

BOOST_AUTO_TEST_CASE(roleNoticeHoldsForItsIncarnationAndAtMostTheSwitchTime)
{
    // Guards against a peer that keeps an engine out of use.
    BOOST_TEST((observations.accept(role("0", 24h), find, 6s, now) == PeerNoticeResult::Effective));
    auto change = observations.roleChange(server("0"), now);
    BOOST_REQUIRE(change);
    BOOST_TEST((change->role == ServerRole::Decode));
    BOOST_TEST((change->until == now + 6s));
    // A repetition does not prolong it.
    BOOST_TEST((observations.accept(role("0"), find, 6s, now + 3s) == PeerNoticeResult::Known));
    BOOST_TEST(!observations.roleChange(server("0"), now + 6s));
    servers[ServerId { "0" }].startedAt += 1s;
    BOOST_TEST(!observations.roleChange(server("0"), now));
}

BOOST_AUTO_TEST_CASE(noticesOnOtherIncarnationsAndUnknownServersAreIgnored)
{
    RoleNotice old = role("0");
    old.startedAt -= 1s;
    BOOST_TEST((observations.accept(old, find, 6s, now) == PeerNoticeResult::UnknownServer));
    BOOST_TEST((observations.accept(role("9"), find, 6s, now) == PeerNoticeResult::UnknownServer));
    // A service without roles has no switch time.
    BOOST_TEST((observations.accept(role("0"), find, 0s, now) == PeerNoticeResult::UnknownServer));
    RoleNotice none = role("0");
    none.role = ServerRole::None;
    BOOST_TEST((observations.accept(none, find, 6s, now) == PeerNoticeResult::Invalid));
    BOOST_TEST((observations.accept(role("0", -1ms), find, 6s, now) == PeerNoticeResult::Invalid));
    EndNotice end { ServerId { "0" }, WallTime { 4s } };
    BOOST_TEST((observations.accept(end, find, now) == PeerNoticeResult::UnknownServer));
    PaceDigest digests = digest();
    for (PaceEvidence& each : digests.entries)
        each.startedAt += 1s;
    BOOST_TEST((observations.accept("peer", digests, find, now) == PeerNoticeResult::UnknownServer));
    observations.advance(pace, find, now);
    BOOST_TEST(pace.ratio(server("3")) == 1);
}

BOOST_AUTO_TEST_CASE(repeatedEndNoticeDoesNotProlongTheEjection)
{
    EndNotice end { ServerId { "0" }, WallTime { 5s } };
    BOOST_TEST((observations.accept(end, find, now) == PeerNoticeResult::Effective));
    BOOST_TEST((observations.accept(end, find, now + 2s) == PeerNoticeResult::Known));
    // What a peer has announced is not announced again.
    BOOST_TEST((observations.announce(end, now + 2s) == PeerNoticeResult::Known));
    BOOST_TEST((observations.announce(end, now + 3s) == PeerNoticeResult::Effective));
}

BOOST_AUTO_TEST_CASE(atMostTwentyNoticesASecondAreSent)
{
    int sent = 0;
    for (int index = 0; index < 100; ++index) {
        EndNotice end { ServerId { "s" + std::to_string(index) }, WallTime { 5s } };
        sent += observations.announce(end, now) == PeerNoticeResult::Effective ? 1 : 0;
    }
    BOOST_TEST(sent == 20);
    BOOST_TEST((observations.announce(role("0"), now) == PeerNoticeResult::Limited));
    BOOST_TEST((observations.announce(role("0"), now + 50ms) == PeerNoticeResult::Effective));
}

BOOST_AUTO_TEST_CASE(evidenceOfPeersCountsUntilItExpires)
{
    observations.accept("peer", digest(), find, now);
    observations.advance(pace, find, now);
    BOOST_TEST(pace.ratio(server("3")) < 0.6);
    BOOST_TEST(pace.ratio(server("0")) == 1);
    // It is never sent on.
    BOOST_TEST(pace.ownEvidence().empty());
    BOOST_TEST(observations.nextDigests(pace).empty());
    observations.advance(pace, find, now + 29s);
    BOOST_TEST(pace.ratio(server("3")) < 0.6);
    observations.advance(pace, find, now + 30s);
    BOOST_TEST(pace.ratio(server("3")) == 1);
}

BOOST_AUTO_TEST_CASE(laterDigestOfAPeerReplacesTheEarlierOne)
{
    // Guards against evidence that counts twice: a weight of 2 is too little, however often it is repeated.
    for (int round = 0; round < 20; ++round)
        observations.accept("peer", digest(2), find, now + round * 1s);
    observations.advance(pace, find, now + 20s);
    BOOST_TEST(pace.ratio(server("3")) == 1);
    for (int peer = 0; peer < 10; ++peer)
        observations.accept("peer" + std::to_string(peer), digest(2), find, now + 20s);
    observations.advance(pace, find, now + 20s);
    BOOST_TEST(pace.ratio(server("3")) < 0.6);
}

BOOST_AUTO_TEST_CASE(wrongPeerWeighsNoMoreThanOneEntry)
{
    for (int peer = 0; peer < 4; ++peer)
        observations.accept("peer" + std::to_string(peer), digest(60), find, now);
    PaceDigest wrong = digest(60);
    wrong.entries[3].meanLog = std::log(0.05);
    observations.accept("wrong", wrong, find, now);
    observations.advance(pace, find, now);
    BOOST_TEST(pace.ratio(server("3")) < 0.5);
}

BOOST_AUTO_TEST_CASE(digestWithANumberOutOfRangeChangesNothing)
{
    double nan = std::numeric_limits<double>::quiet_NaN();
    double infinity = std::numeric_limits<double>::infinity();
    for (auto [mean, weight] : { std::pair { nan, 1.0 }, { infinity, 1.0 }, { 0.0, nan }, { 0.0, -1.0 },
             { 0.0, 60.5 }, { 1e300, 1.0 } }) {
        PaceDigest wrong = digest();
        wrong.entries[5].meanLog = mean;
        wrong.entries[5].weight = weight;
        BOOST_TEST((observations.accept("peer", wrong, find, now) == PeerNoticeResult::Invalid));
    }
    observations.advance(pace, find, now);
    BOOST_TEST(pace.ratio(server("3")) == 1);
}

BOOST_AUTO_TEST_CASE(digestsFitDatagramsAndReachAllServersInTurn)
{
    std::set<std::string> sent;
    for (int index = 0; index < 300; ++index) {
        ServerRecord record;
        record.id = ServerId { "i-0123456789-" + std::to_string(index) };
        pace.record(record, PaceSample::Prefill, 0.1, now);
    }
    for (int round = 0; round < 4; ++round) {
        auto digests = observations.nextDigests(pace);
        BOOST_TEST(digests.size() == PeerObservations::MaxDatagrams);
        for (const PaceDigest& each : digests) {
            BOOST_TEST(each.entries.size() <= 25U);
            for (const PaceEvidence& entry : each.entries)
                sent.insert(entry.server.raw());
        }
    }
    BOOST_TEST(sent.size() == 300U);
}

BOOST_AUTO_TEST_CASE(receiversAreDistinctAndDrawnFromAll)
{
    RandomSource random { 1 };
    std::set<std::string> all;
    for (int round = 0; round < 50; ++round) {
        auto drawn = PeerObservations::drawReceivers({ "a", "b", "c", "d", "e" }, random);
        BOOST_TEST((std::set<std::string>(drawn.begin(), drawn.end()).size()) == 3U);
        all.insert(drawn.begin(), drawn.end());
    }
    BOOST_TEST(all.size() == 5U);
    BOOST_TEST(PeerObservations::drawReceivers({ "a" }, random).size() == 1U);
}

BOOST_AUTO_TEST_CASE(sharingEndsSomeTimeAfterItsReason)
{
    BOOST_TEST(!observations.isActive(now));
    observations.noteNeed(now);
    BOOST_TEST(observations.isActive(now + 29s));
    BOOST_TEST(!observations.isActive(now + 30s));
}

BOOST_AUTO_TEST_SUITE_END()
