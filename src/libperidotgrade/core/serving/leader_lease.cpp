// Implementation of the lease of a duty.
#include "peridotgrade/core/serving/leader_lease.h"

#include <algorithm>

namespace peridotgrade {

void LeaderLease::confirm(std::uint64_t newGeneration, bool isHolder, TimePoint asked, TimePoint now)
{
    // Over one step of the generation nobody else can have held the duty and given it back.
    bool isContinuous = newGeneration == this->generation || newGeneration == this->generation + 1;
    bool mayHaveChanged = !this->holds || !isContinuous;
    if (isHolder && mayHaveChanged)
        this->since = now;
    this->generation = newGeneration;
    this->holds = isHolder;
    // The confirmation may be as old as its question.
    this->confirmedAt = asked;
}

bool LeaderLease::mayAct(TimePoint now) const
{
    return this->holds && now - this->confirmedAt < LongestConfirmation
        && this->waitLeft(now) == Duration::zero();
}

Duration LeaderLease::waitLeft(TimePoint now) const
{
    Duration left = this->since + this->lease + TakeOverMargin - now;
    return std::max(left, Duration::zero());
}

} // namespace peridotgrade
