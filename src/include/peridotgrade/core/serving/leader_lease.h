// Lease that decides when the leader of a group may act.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <cstdint>

namespace peridotgrade {

/// Tracks the generations of a group that has one leader. A leader acts only shortly after a confirmation,
/// and only once the lease of the previous leader has certainly expired. Every change of the group has its
/// own generation, so leadership cannot move to another member and back within one generation step; after two
/// steps or more, for example while this member was frozen, the wait starts again. All times are of a clock
/// that advances while the machine is suspended.
class LeaderLease {
public:
    /// An action follows its confirmation at once, so an older confirmation does not allow one.
    static constexpr std::chrono::milliseconds MaxConfirmationAge { 300 };
    /// Added to the lease to cover the transit time of the previous leader's last command.
    static constexpr std::chrono::milliseconds TakeoverMargin { 500 };

    explicit LeaderLease(std::chrono::milliseconds lease)
        : lease(lease)
    {
    }

    /// Records a confirmation that was requested at `requestedAt` and arrived at `now`.
    void confirm(std::uint64_t generation, bool isLeader, TimePoint requestedAt, TimePoint now);
    /// The membership has expired.
    void revoke() { this->isLeading = false; }

    bool isLeader() const { return this->isLeading; }
    bool mayAct(TimePoint now) const;
    /// When the leadership began, or may have been interrupted last.
    TimePoint leadingSince() const { return this->leaderSince; }
    /// Time until the previous leader's lease has expired; zero if it has.
    Duration remainingWait(TimePoint now) const;

private:
    std::chrono::milliseconds lease;
    /// Generation of the newest confirmation.
    std::uint64_t generation = 0;
    bool isLeading = false;
    TimePoint leaderSince {};
    TimePoint confirmedAt {};
};

} // namespace peridotgrade
