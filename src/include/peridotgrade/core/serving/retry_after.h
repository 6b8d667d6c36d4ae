// Retry-After delay for rejected callers.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <optional>

namespace peridotgrade {

/// Returns the Retry-After delay for a caller that is rejected for lack of capacity. Load bursts last some
/// seconds, so an immediate retry meets the same queue; the random spread keeps callers from retrying
/// together. The delay is at most a third of the caller's remaining time, since callers ignore longer ones.
std::chrono::milliseconds chooseRetryAfter(std::chrono::milliseconds timeLeft, RandomSource& random);

/// Returns a delay that does not end before `earliest`, if there is one: an earlier retry would certainly be
/// rejected. A part of `retryAfter` is added to keep callers from retrying together.
std::chrono::milliseconds notBefore(
    TimePoint now, std::optional<TimePoint> earliest, std::chrono::milliseconds retryAfter);

} // namespace peridotgrade
