// CPU time of the choice of an engine by pace.
#pragma once

#include <cstdint>

namespace peridotgrade::bench {

/// CPU time of one choice among `servers` engines of three speeds with fresh reports, in seconds.
double placementSeconds(std::uint32_t servers);

} // namespace peridotgrade::bench
