// The hybrid logical clock of a process.
#pragma once

#include "peridotgrade/core/base/hybrid_time.h"
#include "peridotgrade/core/base/time.h"

#include <atomic>
#include <cstdint>
#include <functional>

namespace peridotgrade {

/// Issues times that follow the wall clock, strictly increase, and are later than every time observed in a
/// message. Thread safe.
class HybridClock {
public:
    /// `wallClock` must be thread safe.
    explicit HybridClock(std::function<WallTime()> wallClock);

    /// Returns the time of a local event or of a message to send.
    HybridTime tick();
    /// Advances the clock to the time of a received message, so that later local events come after it. A time
    /// that is too far ahead of the local wall clock is ignored.
    void observe(HybridTime remote);

private:
    std::uint64_t wallValue() const;

    const std::function<WallTime()> wallClock;
    /// Invariant: never decreases.
    std::atomic<std::uint64_t> last = 0;
};

} // namespace peridotgrade
