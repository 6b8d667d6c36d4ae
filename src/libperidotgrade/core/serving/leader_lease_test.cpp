// Tests of the leader lease.
#include "peridotgrade/core/serving/leader_lease.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds Lease { 3000 };
constexpr std::chrono::milliseconds Wait = Lease + LeaderLease::TakeoverMargin;

} // namespace

BOOST_AUTO_TEST_SUITE(LeaderLeaseTest)

BOOST_AUTO_TEST_CASE(newLeaderWaitsForThePreviousLease)
{
    LeaderLease lease(Lease);
    TimePoint now { 10s };
    lease.confirm(1, true, now, now);
    BOOST_TEST(!lease.mayAct(now));
    now += Wait;
    lease.confirm(1, true, now, now);
    BOOST_TEST(lease.mayAct(now));
    BOOST_TEST(!lease.mayAct(now + LeaderLease::MaxConfirmationAge));
}

BOOST_AUTO_TEST_CASE(leaderThatWasFrozenWaitsAgain)
{
    // While this member was frozen another one was leader and acted; then this one becomes leader again.
    LeaderLease lease(Lease);
    TimePoint now { 10s };
    lease.confirm(1, true, now, now);
    now += 20s;
    lease.confirm(3, true, now, now);
    BOOST_TEST(!lease.mayAct(now));
    BOOST_TEST((lease.remainingWait(now) == Wait));
    now += Wait;
    lease.confirm(3, true, now, now);
    BOOST_TEST(lease.mayAct(now));
}

BOOST_AUTO_TEST_CASE(leaderNeedsNoNewWaitAfterOneGroupChange)
{
    // Entries that restart one after another change the group every second or two; the leader carries on.
    LeaderLease lease(Lease);
    TimePoint now { 10s };
    lease.confirm(1, true, now, now);
    for (std::uint64_t generation = 2; generation < 6; ++generation) {
        now += 1s;
        lease.confirm(generation, true, now, now);
    }
    BOOST_TEST(lease.mayAct(now));
}

BOOST_AUTO_TEST_CASE(lowerGenerationRestartsTheWait)
{
    LeaderLease lease(Lease);
    TimePoint now { 10s };
    lease.confirm(5, true, now, now);
    now += Wait;
    lease.confirm(4, true, now, now);
    BOOST_TEST(!lease.mayAct(now));
}

BOOST_AUTO_TEST_CASE(slowConfirmationIsAsOldAsItsRequest)
{
    LeaderLease lease(Lease);
    TimePoint now { 10s };
    lease.confirm(1, true, now, now);
    now += Wait + 1s;
    lease.confirm(1, true, now - LeaderLease::MaxConfirmationAge, now);
    BOOST_TEST(!lease.mayAct(now));
}

BOOST_AUTO_TEST_CASE(formerLeaderDoesNotAct)
{
    LeaderLease lease(Lease);
    TimePoint now { 10s };
    lease.confirm(1, true, now, now);
    now += Wait;
    lease.confirm(2, false, now, now);
    BOOST_TEST(!lease.mayAct(now));
    lease.confirm(2, true, now, now);
    lease.revoke();
    BOOST_TEST(!lease.mayAct(now + Wait));
}

BOOST_AUTO_TEST_SUITE_END()
