// CPU time and heap growth of a piece of work.
#pragma once

#include <functional>

namespace peridotgrade::bench {

/// CPU time that the calling thread spends in the work, in seconds.
double cpuSecondsOf(const std::function<void()>& work);

/// Increase of the heap memory in use over the work, in bytes.
double heapGrowthOf(const std::function<void()>& work);

} // namespace peridotgrade::bench
