// When a rejected caller should come back.
#pragma once

#include "peridotgrade/core/base/random_source.h"

#include <chrono>

namespace peridotgrade {

/// The wait to tell a caller that is rejected for lack of capacity. Bursts last some seconds, so coming back
/// at once meets the same queue; callers are spread out so that they do not come back together. Never more
/// than a third of the time that the caller has left, since callers ignore longer waits.
std::chrono::milliseconds chooseRetryAfter(std::chrono::milliseconds timeLeft, RandomSource& random);

} // namespace peridotgrade
