// CPU time of the choice of an engine by pace.
#pragma once

#include <chrono>
#include <cstdint>

namespace peridotgrade::bench {

/// CPU time of one choice among `servers` engines of three speeds with fresh reports.
std::chrono::duration<double> placementTime(std::uint32_t servers);

} // namespace peridotgrade::bench
