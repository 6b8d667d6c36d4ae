// A summary metric of durations: count, sum and quantiles.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace peridotgrade {

/// An estimated quantile.
struct Quantile {
    double probability = 0;
    std::chrono::duration<double> value { 0 };
};

/// Statistics of all samples since the process started. `quantiles` is empty while there are too few samples.
struct DistributionSummary {
    std::uint64_t count = 0;
    std::chrono::duration<double> sum { 0 };
    std::chrono::duration<double> max { 0 };
    std::vector<Quantile> quantiles;
};

/// Estimates quantiles (0.5, 0.9, 0.95, 0.99) with constant memory by the P-square method. Thread safe.
class Distribution {
public:
    Distribution();
    ~Distribution();
    Distribution(const Distribution&) = delete;
    Distribution& operator=(const Distribution&) = delete;

    void add(std::chrono::nanoseconds sample);
    DistributionSummary summary() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
