// What a piece of work costs this thread.
#pragma once

#include <functional>

namespace peridotgrade::bench {

/// Processor time of the calling thread, in seconds.
double cpuSecondsOf(const std::function<void()>& work);

/// Heap memory that is still in use after the work and was not before, in bytes.
double heapGrowthOf(const std::function<void()>& work);

} // namespace peridotgrade::bench
