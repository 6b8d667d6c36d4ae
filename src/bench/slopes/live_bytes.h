// Count of the heap memory in use, for slopes of memory against size.
#pragma once

#include <cstdint>

namespace peridotgrade::bench {

/// Bytes that the process has allocated and not freed, as the allocator rounds them.
std::uint64_t liveBytes();

} // namespace peridotgrade::bench
