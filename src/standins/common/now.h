// The clock of the stand-ins, which stand outside the product and its timer service.
#pragma once

#include <chrono>

namespace peridotgrade::standins {

using StandinClock = std::chrono::steady_clock;

/// Whole milliseconds of a duration, for JSON.
template <typename Duration> long long millis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace peridotgrade::standins
