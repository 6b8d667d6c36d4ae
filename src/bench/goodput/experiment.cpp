// Distributes the independent runs of the benchmark over threads.
#include "experiment.h"

#include <atomic>
#include <thread>

namespace peridotgrade::bench {

std::vector<Row> runAll(const std::vector<BenchmarkedPolicy>& policies,
    const std::vector<SiteSettings>& settings, unsigned threads)
{
    std::vector<Row> rows;
    for (const SiteSettings& setting : settings) {
        for (const BenchmarkedPolicy& policy : policies)
            rows.push_back({ policy.name, setting, {} });
    }
    std::atomic<std::size_t> next = 0;
    auto work = [&] {
        for (std::size_t index = next++; index < rows.size(); index = next++)
            rows[index].result = policies[index % policies.size()].run(rows[index].settings);
    };
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < threads; ++i)
        workers.emplace_back(work);
    for (std::thread& worker : workers)
        worker.join();
    return rows;
}

} // namespace peridotgrade::bench
