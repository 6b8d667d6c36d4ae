// Implementation of the measured drain rate.
#include "drain_rate.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    // Before anything was measured.
    constexpr std::chrono::milliseconds UnknownWait { 500 };
    // An idle engine frees nothing for long; such gaps say nothing about a full one.
    constexpr std::chrono::seconds LongestInterval { 5 };
    // Weight of the newest interval is one part in this many.
    constexpr int Smoothing = 8;
    constexpr std::chrono::milliseconds ShortestWait { 1 };
} // namespace

void DrainRate::recordFreed(TimePoint now)
{
    if (this->lastFreedAt) {
        Duration interval = std::min<Duration>(now - *this->lastFreedAt, LongestInterval);
        Duration mean = this->meanInterval.value_or(interval);
        this->meanInterval = mean + (interval - mean) / Smoothing;
    }
    this->lastFreedAt = now;
}

std::chrono::milliseconds DrainRate::expectedWait(std::uint32_t ahead) const
{
    if (!this->meanInterval)
        return UnknownWait;
    Duration wait = *this->meanInterval * (std::int64_t { ahead } + 1);
    return std::max(ShortestWait, std::chrono::duration_cast<std::chrono::milliseconds>(wait));
}

} // namespace peridotgrade
