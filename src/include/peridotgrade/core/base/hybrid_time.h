// Timestamps of a hybrid logical clock, which orders events of several processes without synchronised clocks.
#pragma once

#include "peridotgrade/core/base/strong_id.h"

#include <cstdint>

namespace peridotgrade {

/// Milliseconds since the epoch in the upper 48 bits, a counter in the lower 16. If one event causes another,
/// in the same or another process, the effect has the larger value. Zero means unknown.
using HybridTime = StrongId<struct HybridTimeTag, std::uint64_t>;

} // namespace peridotgrade
