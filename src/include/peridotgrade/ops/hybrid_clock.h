// The hybrid logical clock of a process.
#pragma once

#include "peridotgrade/core/base/hybrid_time.h"
#include "peridotgrade/core/base/time.h"

#include <atomic>
#include <cstdint>
#include <functional>

namespace peridotgrade {

/// Gives times that follow the wall clock, never repeat or go back, and are later than every time observed in
/// a message. Thread safe.
class HybridClock {
public:
    /// `wallClock` must be thread safe.
    explicit HybridClock(std::function<WallTime()> wallClock);

    /// For an event here or a message sent.
    HybridTime tick();
    /// For a message received: later events here come after it. A peer whose clock is far ahead is not
    /// followed further than a bounded offset.
    void observe(HybridTime remote);

private:
    std::uint64_t wallValue() const;

    const std::function<WallTime()> wallClock;
    /// Invariant: never falls.
    std::atomic<std::uint64_t> last = 0;
};

} // namespace peridotgrade
