// Tests that snapshots are due in time before retention drops the records that they replace.
#include "peridotgrade/core/config/snapshot_policy.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

WallTime at(std::chrono::milliseconds since) { return WallTime { since }; }

LogRecord recordAt(std::uint64_t offset, std::chrono::milliseconds time, const ConfigurationRecord& content)
{
    LogRecord record;
    record.offset = LogOffset { offset };
    record.appendedAt = at(time);
    record.data = encodeRecord(content);
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(snapshot_policy)

BOOST_AUTO_TEST_CASE(a_snapshot_is_due_between_a_quarter_and_half_of_the_retention)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        SnapshotPolicy policy(1000s, RandomSource(seed));
        ConfigurationReplica replica;
        PlanConfirmation confirmed;
        confirmed.plan = PlanId { "a" };
        replica.onRecord(recordAt(0, 100s, confirmed));
        BOOST_TEST(!policy.isDue(replica, LogOffset {}, at(900s)));
        replica.onCaughtUp(LogOffset { 1 });
        BOOST_TEST(!policy.isDue(replica, LogOffset {}, at(349s)));
        BOOST_TEST(policy.isDue(replica, LogOffset {}, at(600s)));
        replica.onRecord(recordAt(1, 600s, replica.snapshot()));
        BOOST_TEST(!policy.isDue(replica, LogOffset {}, at(849s)));
        BOOST_TEST(policy.isDue(replica, LogOffset { 1 }, at(1100s)));
        replica.onGap(LogOffset { 9 });
        BOOST_TEST(!policy.isDue(replica, LogOffset { 9 }, at(9000s)));
    }
}

BOOST_AUTO_TEST_CASE(a_delayed_snapshot_counts_from_the_records_it_covers)
{
    SnapshotPolicy policy(1000s, RandomSource(1));
    ConfigurationReplica replica;
    PlanConfirmation confirmed;
    confirmed.plan = PlanId { "a" };
    replica.onRecord(recordAt(0, 0s, confirmed));
    replica.onCaughtUp(LogOffset { 1 });
    Snapshot late = replica.snapshot();
    confirmed.base = ConfigVersion { 1 };
    replica.onRecord(recordAt(1, 10s, confirmed));
    replica.onRecord(recordAt(2, 900s, late));
    BOOST_TEST(policy.isDue(replica, LogOffset {}, at(901s)));
}

BOOST_AUTO_TEST_SUITE_END()
