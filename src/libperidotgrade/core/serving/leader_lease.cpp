// Confirmation and takeover rules of the leader lease.
#include "peridotgrade/core/serving/leader_lease.h"

#include <algorithm>

namespace peridotgrade {

void LeaderLease::confirm(std::uint64_t newGeneration, bool isLeader, TimePoint requestedAt, TimePoint now)
{
    // Within one generation step no other member can have become leader and handed leadership back.
    bool isContinuous = newGeneration == this->generation || newGeneration == this->generation + 1;
    bool mayHaveChanged = !this->isLeading || !isContinuous;
    if (isLeader && mayHaveChanged)
        this->leaderSince = now;
    this->generation = newGeneration;
    this->isLeading = isLeader;
    // The confirmation may be as old as the request for it.
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
