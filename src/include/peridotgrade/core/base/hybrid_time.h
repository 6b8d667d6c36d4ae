// Hybrid logical time: orders events of several processes without synchronised clocks.
#pragma once

#include "peridotgrade/core/base/strong_id.h"

#include <cstdint>

namespace peridotgrade {

/// Milliseconds since the epoch in the upper 48 bits, a counter in the lower 16. An event that another one
/// caused has the larger value, in whichever process either took place. Zero means unknown.
using HybridTime = StrongId<struct HybridTimeTag, std::uint64_t>;

} // namespace peridotgrade
