// Aggregates the results of a load run.
#pragma once

#include "load_options.h"
#include "load_request.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridotgrade::load {

/// Exact quantiles over all samples; a run is short enough to keep all of them in memory.
class Samples {
public:
    void add(Duration sample) { this->values.push_back(sample); }
    void add(const std::vector<Duration>& samples)
    {
        this->values.insert(this->values.end(), samples.begin(), samples.end());
    }
    bool isEmpty() const { return this->values.empty(); }
    /// `probability` in [0, 1]; zero if there are no samples.
    Duration quantile(double probability) const;
    /// `p50_ms=… p95_ms=… p99_ms=…`
    std::string text() const;

private:
    mutable std::vector<Duration> values;
};

/// Counters and latency quantiles of one run.
class LoadReport {
public:
    explicit LoadReport(LatencyObjectives objectives)
        : objectives(objectives)
    {
    }

    void add(const LoadResult& result);
    std::uint64_t tokens() const { return this->tokenCount; }
    std::uint64_t wrongAnswers() const { return this->wrong; }
    const Samples& firstTokens() const { return this->firsts; }

    /// Returns several lines of key=value pairs.
    std::string text(Duration elapsed) const;

private:
    bool meetsObjectives(const LoadResult& result) const;

    const LatencyObjectives objectives;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t withinTargets = 0;
    std::uint64_t wrong = 0;
    std::uint64_t unknown = 0;
    std::uint64_t connectionFailures = 0;
    std::uint64_t tokenCount = 0;
    std::map<std::string, std::uint64_t> refusals;
    Samples firsts;
    Samples gaps;
};

} // namespace peridotgrade::load
