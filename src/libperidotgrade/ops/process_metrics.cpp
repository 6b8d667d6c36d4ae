// Metrics that every process has.
#include "peridotgrade/core/base/invariant.h"
#include "peridotgrade/ops/metrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <fstream>

namespace peridotgrade {

namespace {

    std::chrono::duration<double> durationFrom(const timeval& value)
    {
        return std::chrono::seconds { value.tv_sec } + std::chrono::microseconds { value.tv_usec };
    }

    double cpuSeconds()
    {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        return (durationFrom(usage.ru_utime) + durationFrom(usage.ru_stime)).count();
    }

    double residentBytes()
    {
        std::ifstream statistics("/proc/self/statm");
        double totalPages = 0;
        double residentPages = 0;
        statistics >> totalPages >> residentPages;
        return residentPages * static_cast<double>(sysconf(_SC_PAGESIZE));
    }

} // namespace

void addProcessMetrics(MetricsRegistry& metrics)
{
    for (Invariant invariant : allInvariants()) {
        metrics.callbackCounter(
            { "peridot_invariant_violations_total", "Violations of what must always hold.", "invariant",
                std::string { nameOf(invariant) } },
            [invariant] { return static_cast<double>(violationsOf(invariant)); });
    }
    metrics.callbackCounter(
        { "process_cpu_seconds_total", "Processor time of this process.", "", "" }, cpuSeconds);
    metrics.gauge(
        { "process_resident_memory_bytes", "Resident memory of this process.", "", "" }, residentBytes);
}

} // namespace peridotgrade
