// Count of the heap memory in use.
#pragma once

#include <cstdint>

namespace peridotgrade::bench {

/// Bytes that the process has allocated and not freed, rounded up as by the allocator.
std::uint64_t liveBytes();

} // namespace peridotgrade::bench
