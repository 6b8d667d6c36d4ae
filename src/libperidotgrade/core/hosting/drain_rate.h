// Measured rate at which reservations are freed.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace peridotgrade {

/// Exponential moving average of the interval between freed reservations, for expected wait times.
class DrainRate {
public:
    void recordFreed(TimePoint now);

    /// Expected wait of a request with `ahead` others before it in the queue.
    std::chrono::milliseconds expectedWait(std::uint32_t ahead) const;

private:
    std::optional<TimePoint> lastFreedAt;
    std::optional<Duration> meanInterval;
};

} // namespace peridotgrade
