// Implementation of the lease of a duty.
#include "peridotgrade/core/serving/leader_lease.h"

#include <algorithm>

namespace peridotgrade {

void LeaderLease::confirm(std::uint64_t newGeneration, bool isLeader, TimePoint requestedAt, TimePoint now)
{
    // Over one step of the generation nobody else can have held the duty and given it back.
    bool isContinuous = newGeneration == this->generation || newGeneration == this->generation + 1;
    bool mayHaveChanged = !this->isLeading || !isContinuous;
    if (isLeader && mayHaveChanged)
        this->leaderSince = now;
    this->generation = newGeneration;
    this->isLeading = isLeader;
    // The confirmation may be as old as its question.
    this->confirmedAt = requestedAt;
}

bool LeaderLease::mayAct(TimePoint now) const
{
    return this->isLeading && now - this->confirmedAt < MaxConfirmationAge
        && this->remainingWait(now) == Duration::zero();
}

Duration LeaderLease::remainingWait(TimePoint now) const
{
    Duration left = this->leaderSince + this->lease + TakeoverMargin - now;
    return std::max(left, Duration::zero());
}

} // namespace peridotgrade
