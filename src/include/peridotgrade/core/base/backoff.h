// Exponential backoff with full jitter.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/time.h"

#include <cstdint>

namespace peridotgrade {

/// Waits between tries: the n-th is uniform between half and all of `first * 2^n`, capped at `longest`. The
/// lower half is cut off so that a try never follows at once.
class Backoff {
public:
    Backoff(Duration first, Duration longest);

    /// The wait before the next try. Each call counts one more failure.
    Duration next(RandomSource& random);

    /// To be called after a success.
    void reset() { this->failures = 0; }

private:
    Duration first;
    Duration longest;
    std::uint32_t failures = 0;
};

} // namespace peridotgrade
