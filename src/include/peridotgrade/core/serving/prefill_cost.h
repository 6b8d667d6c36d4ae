// Estimate of how long a prefill takes without a wait, and of how long it keeps its engine busy.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace peridotgrade {

/// Fits a fixed time and a time for each token to the prefills that were measured last. A measured time
/// includes the wait behind other prefills, which only ever adds, so the fit follows the quickest
/// measurements. While every prefill waits, the estimate is too high. Not thread safe.
class PrefillCost {
public:
    /// Measurements that are kept.
    static constexpr std::size_t MaxSamples = 64;
    /// Measurements needed for an estimate.
    static constexpr std::size_t MinSamples = 16;
    /// Share of the measurements that count as prefills without a wait. In a pool that is used to 0.7, about
    /// half of the prefills wait.
    static constexpr double QuickShare = 0.3;
    /// Least share of a prefill's time that counts as occupancy: few prompts, or prompts of one size, do not
    /// show the two parts.
    static constexpr double MinOccupancyShare = 0.5;

    /// Records a completed prefill of `tokens`, as long as it took from the request to the answer.
    void record(std::uint32_t tokens, Duration took);
    /// What a prefill of `tokens` that took so long would have taken with a prompt of the mean size.
    Duration atMeanSize(std::uint32_t tokens, Duration took) const;
    bool isEmpty() const { return this->samples.empty(); }
    /// The time for a prefill of `tokens`; nothing before `MinSamples` were recorded.
    std::optional<Duration> estimate(std::uint32_t tokens) const;
    /// The time for a prefill of the mean size; nothing before `MinSamples` were recorded.
    std::optional<Duration> meanTime() const { return this->estimate(this->meanTokens()); }
    /// How long a prefill of the mean size keeps its engine busy; nothing before `MinSamples` were recorded.
    /// Only the part that grows with the tokens counts: engines start the next prefill during the fixed part,
    /// which includes the round trip.
    std::optional<Duration> meanOccupancy() const;

private:
    struct Sample {
        double tokens = 0;
        double seconds = 0;
    };
    /// Seconds as a linear function of tokens.
    struct Line {
        double fixed = 0;
        double perToken = 0;

        double at(double tokens) const { return this->fixed + this->perToken * tokens; }
    };

    static Line fit(const std::deque<Sample>& samples, std::size_t count);
    void refit();
    std::uint32_t meanTokens() const;

    std::deque<Sample> samples;
    std::optional<Line> line;
};

} // namespace peridotgrade
