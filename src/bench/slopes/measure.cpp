// Reads the thread's CPU clock and the heap count before and after the work.
#include "measure.h"

#include "live_bytes.h"

#include <ctime>

namespace peridotgrade::bench {

namespace {

    double threadSeconds()
    {
        timespec now {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
        return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
    }

} // namespace

double cpuSecondsOf(const std::function<void()>& work)
{
    double began = threadSeconds();
    work();
    return threadSeconds() - began;
}

double heapGrowthOf(const std::function<void()>& work)
{
    auto before = liveBytes();
    work();
    return static_cast<double>(liveBytes()) - static_cast<double>(before);
}

} // namespace peridotgrade::bench
