// Computes the delays of the exponential backoff.
#include "peridotgrade/core/base/backoff.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    // Doubling stops here: the cap has long been reached by then, and a larger shift would overflow.
    constexpr std::uint32_t MaxDoublings = 20;
} // namespace

Backoff::Backoff(Duration initialDelay, Duration maxDelay)
    : initialDelay(initialDelay)
    , maxDelay(maxDelay)
{
}

Duration Backoff::next(RandomSource& random)
{
    std::uint32_t doublings = std::min(this->failures, MaxDoublings);
    ++this->failures;
    Duration full = std::min(this->initialDelay * (std::int64_t { 1 } << doublings), this->maxDelay);
    auto half = full.count() / 2;
    auto jitter = static_cast<Duration::rep>(random.unit() * static_cast<double>(full.count() - half));
    return Duration { half + jitter };
}

} // namespace peridotgrade
