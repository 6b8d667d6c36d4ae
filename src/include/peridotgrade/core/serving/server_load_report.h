// What a server says of its load in an answer.
#pragma once

#include <cstdint>

namespace peridotgrade {

struct ServerLoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes on its machine at this moment, as a factor of the usual time.
    double slowness = 1;
};

} // namespace peridotgrade
