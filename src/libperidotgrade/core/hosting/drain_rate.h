// Measured rate at which places become free.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace peridotgrade {

/// An exponential mean of the time between two places that became free, for expected waits.
class DrainRate {
public:
    void recordFreed(TimePoint now);

    /// When the place after `ahead` others is likely to be free.
    std::chrono::milliseconds expectedWait(std::uint32_t ahead) const;

private:
    std::optional<TimePoint> lastFreedAt;
    std::optional<Duration> meanInterval;
};

} // namespace peridotgrade
