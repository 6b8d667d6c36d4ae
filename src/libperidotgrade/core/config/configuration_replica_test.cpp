// Tests of the configuration replica: racing confirmations, gaps, snapshots and peers.
#include "peridotgrade/core/config/configuration_replica.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

LogRecord recordOf(std::uint64_t offset, const ConfigurationRecord& content)
{
    LogRecord record;
    record.offset = LogOffset { offset };
    record.appendedAt = WallTime { std::chrono::seconds { offset } };
    record.data = encodeRecord(content);
    return record;
}

PlanConfirmation confirmationFor(const std::string& plan, std::uint64_t base, const std::string& modelVersion)
{
    EngineAssignment engine;
    engine.agent = AgentId { "engine-1" };
    engine.service = ServiceId { "planwriter" };
    engine.model = ModelId { "planwriter" };
    engine.modelVersion = modelVersion;
    engine.adapters = { "customer", "soil" };
    PlanConfirmation confirmed;
    confirmed.plan = PlanId { plan };
    confirmed.base = ConfigVersion { base };
    confirmed.operatorName = "ana";
    confirmed.changes.push_back(SetEngine { engine });
    return confirmed;
}

std::string modelVersionOf(const ConfigurationReplica& replica)
{
    auto found = replica.configuration().engines.find(AgentId { "engine-1" });
    return found == replica.configuration().engines.end() ? "none" : found->second.modelVersion;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_replica)

BOOST_AUTO_TEST_CASE(of_two_racing_confirmations_the_first_in_the_log_wins)
{
    ConfigurationReplica replica;
    replica.onRecord(recordOf(0, confirmationFor("a", 0, "v1")));
    BOOST_TEST(
        (replica.onRecord(recordOf(1, confirmationFor("b", 0, "v2"))).kind == ApplyResult::Kind::VoidPlan));
    BOOST_TEST(modelVersionOf(replica) == "v1");
    BOOST_TEST((replica.version() == ConfigVersion { 1 }));
    BOOST_TEST(nameOf(replica.planStatus(PlanId { "a" })) == "in_force");
    BOOST_TEST(nameOf(replica.planStatus(PlanId { "b" })) == "void");
    BOOST_TEST(nameOf(replica.planStatus(PlanId { "c" })) == "unseen");
}

BOOST_AUTO_TEST_CASE(the_same_confirmation_twice_takes_effect_once)
{
    ConfigurationReplica replica;
    replica.onRecord(recordOf(0, confirmationFor("a", 0, "v1")));
    replica.onRecord(recordOf(1, confirmationFor("a", 0, "v1")));
    BOOST_TEST((replica.version() == ConfigVersion { 1 }));
    BOOST_TEST(nameOf(replica.planStatus(PlanId { "a" })) == "in_force");
    replica.onRecord(recordOf(2, confirmationFor("b", 1, "v2")));
    BOOST_TEST(nameOf(replica.planStatus(PlanId { "a" })) == "superseded");
    BOOST_TEST((replica.version() == ConfigVersion { 3 }));
}

BOOST_AUTO_TEST_CASE(records_read_again_change_nothing)
{
    ConfigurationReplica replica;
    replica.onRecord(recordOf(0, confirmationFor("a", 0, "v1")));
    replica.onRecord(recordOf(1, confirmationFor("b", 1, "v2")));
    BOOST_TEST(
        (replica.onRecord(recordOf(0, confirmationFor("a", 0, "v1"))).kind == ApplyResult::Kind::Ignored));
    BOOST_TEST(modelVersionOf(replica) == "v2");
}

BOOST_AUTO_TEST_CASE(a_new_reader_applies_a_snapshot_and_the_plans_it_does_not_cover)
{
    ConfigurationReplica writer;
    writer.onRecord(recordOf(0, confirmationFor("a", 0, "v1")));
    Snapshot snapshot = writer.snapshot();
    // Appended while the snapshot was in transit: the record precedes the snapshot but is not part of it.
    LogRecord notCovered = recordOf(1, confirmationFor("b", 1, "v2"));
    ConfigurationReplica reader;
    reader.onGap(LogOffset { 1 });
    BOOST_TEST((reader.onRecord(notCovered).kind == ApplyResult::Kind::Buffered));
    BOOST_TEST(!reader.isReady());
    reader.onRecord(recordOf(2, snapshot));
    reader.onCaughtUp(LogOffset { 3 });
    BOOST_TEST(reader.isReady());
    BOOST_TEST(modelVersionOf(reader) == "v2");
    BOOST_TEST((reader.version() == ConfigVersion { 2 }));
    writer.onRecord(notCovered);
    BOOST_TEST(writer.digest() == reader.digest());
    BOOST_TEST((writer.history() == reader.history()));
}

BOOST_AUTO_TEST_CASE(a_snapshot_that_does_not_cover_the_gap_does_not_close_it)
{
    ConfigurationReplica writer;
    writer.onRecord(recordOf(0, confirmationFor("a", 0, "v1")));
    Snapshot early = writer.snapshot();
    ConfigurationReplica reader;
    reader.onGap(LogOffset { 2 });
    reader.onRecord(recordOf(2, early));
    reader.onCaughtUp(LogOffset { 3 });
    BOOST_TEST(!reader.isReady());
    BOOST_TEST(reader.hasGap());
}

BOOST_AUTO_TEST_CASE(a_gap_keeps_the_configuration_and_buffers_later_plans)
{
    ConfigurationReplica reader;
    reader.onRecord(recordOf(0, confirmationFor("a", 0, "v1")));
    reader.onGap(LogOffset { 5 });
    reader.onRecord(recordOf(5, confirmationFor("late", 1, "v9")));
    BOOST_TEST(modelVersionOf(reader) == "v1");
}

BOOST_AUTO_TEST_CASE(a_peer_snapshot_advances_the_version_but_never_lowers_it)
{
    ConfigurationReplica ahead;
    ahead.onRecord(recordOf(0, confirmationFor("a", 0, "v1")));
    ConfigurationSnapshot old = ahead.peerSnapshot();
    ahead.onRecord(recordOf(1, confirmationFor("b", 1, "v2")));
    ConfigurationReplica fresh;
    BOOST_TEST(!fresh.isReady());
    BOOST_TEST(std::get<bool>(fresh.onPeerSnapshot(ahead.peerSnapshot())));
    BOOST_TEST(fresh.isReady());
    BOOST_TEST((fresh.nextOffset() == LogOffset { 2 }));
    BOOST_TEST(!std::get<bool>(fresh.onPeerSnapshot(old)));
    BOOST_TEST(modelVersionOf(fresh) == "v2");
    ConfigurationSnapshot broken;
    broken.snapshot = "{}";
    BOOST_TEST(std::holds_alternative<ConfigError>(fresh.onPeerSnapshot(broken)));
}

BOOST_AUTO_TEST_CASE(records_survive_encoding_and_decoding)
{
    Workspace workspace;
    workspace.id = WorkspaceId { "parishes" };
    workspace.keySha256 = "00ff";
    workspace.priority = Priority::Urgent;
    workspace.requestsPerSecond = 12.5;
    PlanConfirmation confirmed = confirmationFor("a", 7, "v1");
    confirmed.changes.push_back(SetWorkspace { workspace });
    confirmed.changes.push_back(RemoveEngine { AgentId { "engine-2" } });
    confirmed.changes.push_back(SetService { { ServiceId { "care-app" }, ServiceKind::Application, 0.25 } });
    confirmed.changes.push_back(SetCommitment { { 30, 1'000, 5 } });
    std::string text = encodeRecord(confirmed);
    auto decoded = decodeRecord(text);
    BOOST_REQUIRE(std::holds_alternative<ConfigurationRecord>(decoded));
    BOOST_TEST(encodeRecord(std::get<ConfigurationRecord>(decoded)) == text);
}

BOOST_AUTO_TEST_SUITE_END()
