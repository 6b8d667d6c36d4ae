// Exponential backoff with equal jitter.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/time.h"

#include <cstdint>

namespace peridotgrade {

/// Delays between retries: the n-th is drawn uniformly from the upper half of `initialDelay * 2^n`, capped at
/// `maxDelay`. The lower half is excluded so that a retry never follows immediately.
class Backoff {
public:
    Backoff(Duration initialDelay, Duration maxDelay);

    /// The delay before the next attempt. Each call counts one more failure.
    Duration next(RandomSource& random);

    /// Must be called after a success.
    void reset() { this->failures = 0; }

private:
    Duration initialDelay;
    Duration maxDelay;
    std::uint32_t failures = 0;
};

} // namespace peridotgrade
