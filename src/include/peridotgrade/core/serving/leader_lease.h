// When the holder of a duty may act on it.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <cstdint>

namespace peridotgrade {

/// Follows the generations of a group of which one member holds a duty. A holder acts only right after a
/// confirmation, and only once the lease of whoever held the duty before has certainly ended. Each change of
/// the group has a generation of its own, so the duty cannot have gone to another member and come back within
/// one step of it; two steps or more, as while this member was frozen, start the wait anew. All times are of
/// a clock that goes on while the machine is suspended.
class LeaderLease {
public:
    /// An act follows its confirmation at once.
    static constexpr std::chrono::milliseconds MaxConfirmationAge { 300 };
    /// Beyond the lease, for the way of the last act of the holder before.
    static constexpr std::chrono::milliseconds TakeoverMargin { 500 };

    explicit LeaderLease(std::chrono::milliseconds lease)
        : lease(lease)
    {
    }

    /// A confirmation that was asked for at `requestedAt` and arrived at `now`.
    void confirm(std::uint64_t generation, bool isLeader, TimePoint requestedAt, TimePoint now);
    /// The membership has lapsed.
    void revoke() { this->isLeading = false; }

    bool isLeader() const { return this->isLeading; }
    bool mayAct(TimePoint now) const;
    /// Until the lease of the holder before has ended; zero if it has.
    Duration remainingWait(TimePoint now) const;

private:
    std::chrono::milliseconds lease;
    /// Of the newest confirmation.
    std::uint64_t generation = 0;
    bool isLeading = false;
    TimePoint leaderSince {};
    TimePoint confirmedAt {};
};

} // namespace peridotgrade
