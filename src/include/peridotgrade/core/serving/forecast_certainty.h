// How certain a forecast must be to reject a request.
#pragma once

#include <cstdint>

namespace peridotgrade {

enum class ForecastCertainty : std::uint8_t {
    /// For a request whose caller tries again.
    Usual,
    /// For a caller's last attempt. It waits for seconds, over which the rate of a burst does not last.
    High,
};

} // namespace peridotgrade
