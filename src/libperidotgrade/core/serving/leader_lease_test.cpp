// Tests of the lease of a duty.
#include "peridotgrade/core/serving/leader_lease.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds Lease { 3000 };
constexpr std::chrono::milliseconds Wait = Lease + LeaderLease::TakeOverMargin;

} // namespace

BOOST_AUTO_TEST_SUITE(DutyLeaseTest)

BOOST_AUTO_TEST_CASE(newHolderWaitsOutTheLeaseBefore)
{
    LeaderLease duty(Lease);
    TimePoint now { 10s };
    duty.confirm(1, true, now, now);
    BOOST_TEST(!duty.mayAct(now));
    now += Wait;
    duty.confirm(1, true, now, now);
    BOOST_TEST(duty.mayAct(now));
    BOOST_TEST(!duty.mayAct(now + LeaderLease::LongestConfirmation));
}

BOOST_AUTO_TEST_CASE(holderThatWasFrozenWaitsAgain)
{
    // While it stood still another member held the duty and acted; it is dealt to this one again at once.
    LeaderLease duty(Lease);
    TimePoint now { 10s };
    duty.confirm(1, true, now, now);
    now += 20s;
    duty.confirm(3, true, now, now);
    BOOST_TEST(!duty.mayAct(now));
    BOOST_TEST((duty.waitLeft(now) == Wait));
    now += Wait;
    duty.confirm(3, true, now, now);
    BOOST_TEST(duty.mayAct(now));
}

BOOST_AUTO_TEST_CASE(holderOverOneChangeOfTheGroupNeedsNoNewWait)
{
    // Entries that restart one after the other change the group every second or two; the holder goes on.
    LeaderLease duty(Lease);
    TimePoint now { 10s };
    duty.confirm(1, true, now, now);
    for (std::uint64_t generation = 2; generation < 6; ++generation) {
        now += 1s;
        duty.confirm(generation, true, now, now);
    }
    BOOST_TEST(duty.mayAct(now));
}

BOOST_AUTO_TEST_CASE(generationThatFellStartsTheWaitAnew)
{
    LeaderLease duty(Lease);
    TimePoint now { 10s };
    duty.confirm(5, true, now, now);
    now += Wait;
    duty.confirm(4, true, now, now);
    BOOST_TEST(!duty.mayAct(now));
}

BOOST_AUTO_TEST_CASE(slowConfirmationIsAsOldAsItsQuestion)
{
    LeaderLease duty(Lease);
    TimePoint now { 10s };
    duty.confirm(1, true, now, now);
    now += Wait + 1s;
    duty.confirm(1, true, now - LeaderLease::LongestConfirmation, now);
    BOOST_TEST(!duty.mayAct(now));
}

BOOST_AUTO_TEST_CASE(whoLostTheDutyDoesNotAct)
{
    LeaderLease duty(Lease);
    TimePoint now { 10s };
    duty.confirm(1, true, now, now);
    now += Wait;
    duty.confirm(2, false, now, now);
    BOOST_TEST(!duty.mayAct(now));
    duty.confirm(2, true, now, now);
    duty.lose();
    BOOST_TEST(!duty.mayAct(now + Wait));
}

BOOST_AUTO_TEST_SUITE_END()
