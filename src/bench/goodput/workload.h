// Requests of the goodput benchmark: arrivals, lengths and shared prefixes.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/time.h"
#include "prompt_shape.h"

#include <string>

namespace peridotgrade::bench {

/// Request distributions of one deployment. Lengths are log-normal and clamped at both ends.
struct WorkloadSettings {
    std::string name;
    double promptTokensMedian = 0;
    double promptTokensSigma = 0;
    std::uint32_t promptTokensMax = 0;
    double outputTokensMedian = 0;
    double outputTokensSigma = 0;
    std::uint32_t outputTokensMax = 0;
    /// Share of the requests that begin with one of `prefixes` common prefixes of `prefixTokens`.
    double prefixShare = 0;
    std::uint32_t prefixes = 1;
    std::uint32_t prefixTokens = 0;
};

/// Reminders and reading summaries: short prompts with few common prefixes, short answers.
WorkloadSettings kigaliMorning();
/// Feeding plans and letters: long prompts, long answers with a heavy tail.
WorkloadSettings zelenicaPlans();

/// Means of a workload, from which the offered load is computed.
struct WorkloadMeans {
    double uncachedPromptTokens = 0;
    double promptTokens = 0;
    double outputTokens = 0;
    /// Share of requests whose prefill alone exceeds the first-token target.
    double infeasibleShare = 0;
};

/// Generates requests. The same seed gives the same requests for every policy and load.
class Workload {
public:
    Workload(WorkloadSettings settings, std::uint64_t seed);

    PromptShape next();

    /// Means over a large sample, for prefills at `prefillTokensPerSecond` with a warm prefix cache.
    static WorkloadMeans means(
        const WorkloadSettings& settings, double prefillTokensPerSecond, Duration firstTokenTarget);

private:
    std::uint32_t logNormal(double median, double sigma, std::uint32_t maximum);

    WorkloadSettings settings;
    RandomSource random;
    std::uint64_t drawn = 0;
};

/// Exponentially distributed time to the next arrival.
Duration poissonGap(RandomSource& random, double ratePerSecond);

} // namespace peridotgrade::bench
