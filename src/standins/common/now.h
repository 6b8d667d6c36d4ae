// The clock of the fake servers, which are not part of the product and do not use its timer service.
#pragma once

#include <chrono>

namespace peridotgrade::standins {

using StandinClock = std::chrono::steady_clock;

/// Duration in whole milliseconds, for JSON.
template <typename Duration> long long millis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace peridotgrade::standins
