// Exponential moving average of the interval between freed reservations.
#include "drain_rate.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    // Reported until an interval has been measured.
    constexpr std::chrono::milliseconds DefaultWait { 500 };
    // An idle engine frees nothing for long periods, which says nothing about a full one, so intervals are
    // capped.
    constexpr std::chrono::seconds MaxInterval { 5 };
    // The newest interval has a weight of 1 / SmoothingDivisor.
    constexpr int SmoothingDivisor = 8;
    constexpr std::chrono::milliseconds MinWait { 1 };
} // namespace

void DrainRate::recordFreed(TimePoint now)
{
    if (this->lastFreedAt) {
        Duration interval = std::min<Duration>(now - *this->lastFreedAt, MaxInterval);
        Duration mean = this->meanInterval.value_or(interval);
        this->meanInterval = mean + (interval - mean) / SmoothingDivisor;
    }
    this->lastFreedAt = now;
}

std::chrono::milliseconds DrainRate::expectedWait(std::uint32_t ahead) const
{
    if (!this->meanInterval)
        return DefaultWait;
    Duration wait = *this->meanInterval * (std::int64_t { ahead } + 1);
    return std::max(MinWait, std::chrono::duration_cast<std::chrono::milliseconds>(wait));
}

} // namespace peridotgrade
