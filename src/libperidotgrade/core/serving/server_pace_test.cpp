// Tests of the learned speeds and of reported slowness.
#include "peridotgrade/core/serving/server_pace.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <string>
#include <vector>

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
            servers.push_back(record);
        }
    }

    /// One stream at each server; `speeds` are those of the servers.
    void stream(const std::vector<double>& speeds)
    {
        for (std::size_t index = 0; index < servers.size(); ++index) {
            auto gap = std::chrono::duration_cast<Duration>(33ms / speeds[index]);
            for (int event = 0; event < 60; ++event)
                pace.recordEvents(servers[index], 1, gap, 300ms, now);
        }
    }

    std::vector<ServerRecord> servers;
    ServerPace pace;
    TimePoint now { 10s };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerPaceTest, Fixture)

BOOST_AUTO_TEST_CASE(oneStreamAtEachServerShowsTheFastOnes)
{
    stream({ 0.7, 0.7, 1.7, 0.7, 0.7, 1.7 });
    BOOST_TEST(pace.ratio(servers[0]) == 1);
    BOOST_TEST(pace.ratio(servers[2]) < 0.6);
    BOOST_TEST(pace.ratio(servers[2]) > 0.35);
}

// Guards against learned speeds that change the placement where scheduling is not load-aware.
BOOST_AUTO_TEST_CASE(serversCountAsEqualWhileThePaceIsNotInUse)
{
    pace.setInUse(false);
    stream({ 0.7, 0.7, 1.7, 0.7, 0.7, 1.7 });
    pace.noteReport(servers[0], { 5, 3, 6, 2.5 }, now);
    BOOST_TEST(pace.ratio(servers[2]) == 1);
    BOOST_TEST(pace.factor(servers[0], now) == 1);
    BOOST_TEST(pace.expectedTime(servers[0], 4, now) == 4);
    BOOST_TEST(!pace.reportedRequests(servers[0], now).has_value());
    // What was measured meanwhile counts at once.
    pace.setInUse(true);
    BOOST_TEST(pace.ratio(servers[2]) < 0.6);
    BOOST_TEST(pace.slowness(servers[0], now) > 2);
}

BOOST_AUTO_TEST_CASE(equalServersHaveEqualRatios)
{
    // Guards against a changed placement in deployments whose servers are alike but differently busy.
    stream({ 1, 1.1, 0.95, 1, 0.9, 1.05 });
    for (const ServerRecord& server : servers)
        BOOST_TEST(pace.ratio(server) == 1);
}

BOOST_AUTO_TEST_CASE(newIncarnationIsUnknown)
{
    stream({ 0.7, 0.7, 1.7, 0.7, 0.7, 1.7 });
    ServerRecord next = servers[2];
    next.startedAt += 1s;
    BOOST_TEST(pace.ratio(next) == 1);
    pace.record(next, PaceSample::Prefill, 1, now);
    BOOST_TEST(pace.ratio(servers[2]) == 1);
}

BOOST_AUTO_TEST_CASE(reportedSlownessHoldsBriefly)
{
    pace.noteReport(servers[0], { 1, 0, 8, 2.5 }, now);
    BOOST_TEST(pace.slowness(servers[0], now) == 2.5);
    BOOST_TEST(pace.slowness(servers[0], now + 300ms) < 1.6);
    BOOST_TEST(pace.slowness(servers[0], now + 3s) == 1);
}

BOOST_AUTO_TEST_CASE(measuredTimesWinOverAWrongReport)
{
    // Guards against a server that is avoided for ever because it always reports that it is slow.
    for (int round = 0; round < 40; ++round) {
        for (const ServerRecord& server : servers) {
            pace.noteReport(server, { 1, 0, 8, server.id.raw() == "0" ? 2.5 : 1 }, now);
            pace.record(server, PaceSample::Prefill, 1, now);
        }
        now += 100ms;
    }
    BOOST_TEST(pace.slowness(servers[0], now) < 1.1);
    BOOST_TEST(pace.ratio(servers[0]) == 1);
}

BOOST_AUTO_TEST_CASE(sharedMachinesAreSeenByReportsOnly)
{
    // Measured speeds differ a little in every deployment.
    BOOST_TEST(!pace.hasSlownessReports());
    stream({ 0.7, 0.7, 1.7, 0.7, 0.7, 1.7 });
    BOOST_TEST(!pace.hasSlownessReports());
    pace.noteReport(servers[0], { 1, 0, 8, 1 }, now);
    BOOST_TEST(!pace.hasSlownessReports());
    pace.noteReport(servers[0], { 1, 0, 8, 1.5 }, now);
    pace.noteReport(servers[0], { 1, 0, 8, 1 }, now);
    BOOST_TEST(pace.hasSlownessReports());
}

BOOST_AUTO_TEST_CASE(ownEvidenceIsKeptApartFromThatOfPeers)
{
    stream({ 0.7, 0.7, 1.7, 0.7, 0.7, 1.7 });
    std::vector<PaceEvidence> before = pace.ownEvidence();
    BOOST_REQUIRE(before.size() == 6U);
    // Peers saw the second server as fast, with more weight.
    ServerLookup find = [&](const ServerId& id) { return &servers.at(std::stoul(id.raw())); };
    pace.setPeerEvidence(
        { { servers[1].id, servers[1].startedAt, PaceSample::Event, std::log(0.033 / 1.7), 50 } }, find);
    BOOST_TEST(pace.ratio(servers[1]) < 0.6);
    BOOST_TEST(pace.ownEvidence()[1].meanLog == before[1].meanLog);
    BOOST_TEST(pace.ownEvidence()[1].weight == before[1].weight);
    pace.setPeerEvidence({}, find);
    BOOST_TEST(pace.ratio(servers[1]) == 1);
}

BOOST_AUTO_TEST_CASE(plainCallsGoWhereTheyEndFirst)
{
    BOOST_TEST(pace.expectedTime(servers[0], 3, now) == 3);
    BOOST_TEST(!pace.reportedRequests(servers[0], now));
    pace.noteReport(servers[0], { 6, 10, 6, 1 }, now);
    pace.noteReport(servers[1], { 2, 0, 6, 2.5 }, now);
    BOOST_TEST(*pace.reportedRequests(servers[0], now) == 16);
    // Guards against old reports that keep all requests away from a server.
    BOOST_TEST(*pace.reportedRequests(servers[0], now + 10s) == 9);
    servers[1].slots = 6;
    BOOST_TEST(pace.expectedTime(servers[1], 2, now) == 14);
}

BOOST_AUTO_TEST_CASE(hugeAndInvalidFiguresAreBounded)
{
    pace.noteReport(servers[0], { 4'000'000'000, 4'000'000'000, 0, 1e7 }, now);
    BOOST_TEST(pace.slowness(servers[0], now) <= 8);
    pace.record(servers[0], PaceSample::PlainCall, 0, now);
    pace.record(servers[0], PaceSample::PlainCall, -1, now);
    pace.recordEvents(servers[0], 0, 1s, 0ms, now);
    BOOST_TEST(pace.ratio(servers[0]) == 1);
}

BOOST_AUTO_TEST_CASE(eventsBeyondThePauseLimitAreForgottenInTime)
{
    for (int event = 0; event < 10; ++event)
        pace.recordEvents(servers[0], 1, 400ms, 300ms, now);
    BOOST_TEST(pace.outlook(servers[0], now).breaksPauseLimit);
    BOOST_TEST(!pace.outlook(servers[1], now).breaksPauseLimit);
    BOOST_TEST(!pace.outlook(servers[0], now + 60s).breaksPauseLimit);
}

BOOST_AUTO_TEST_SUITE_END()
