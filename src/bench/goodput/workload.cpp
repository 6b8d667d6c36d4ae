// Samples the requests of the goodput benchmark.
#include "workload.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace peridotgrade::bench {

namespace {
    constexpr std::uint32_t MinPromptTokens = 16;
    constexpr std::uint32_t MinOutputTokens = 4;
    constexpr int SampleSize = 50'000;
    constexpr std::uint64_t SampleSeed = 99;
} // namespace

WorkloadSettings kigaliMorning()
{
    WorkloadSettings settings;
    settings.name = "kigali";
    settings.promptTokensMedian = 600;
    settings.promptTokensSigma = 1.0;
    settings.promptTokensMax = 30'000;
    settings.outputTokensMedian = 90;
    settings.outputTokensSigma = 0.7;
    settings.outputTokensMax = 1'000;
    settings.prefixShare = 0.7;
    settings.prefixes = 12;
    settings.prefixTokens = 512;
    return settings;
}

WorkloadSettings zelenicaPlans()
{
    WorkloadSettings settings;
    settings.name = "zelenica";
    settings.promptTokensMedian = 1'200;
    settings.promptTokensSigma = 1.1;
    settings.promptTokensMax = 40'000;
    settings.outputTokensMedian = 160;
    settings.outputTokensSigma = 1.0;
    settings.outputTokensMax = 3'000;
    settings.prefixShare = 0.4;
    settings.prefixes = 40;
    settings.prefixTokens = 768;
    return settings;
}

Workload::Workload(WorkloadSettings settings, std::uint64_t seed)
    : settings(std::move(settings))
    , random(seed)
{
}

std::uint32_t Workload::logNormal(double median, double sigma, std::uint32_t maximum)
{
    // Box-Muller gives the same samples with every standard library; std::lognormal_distribution does not.
    double radius = std::sqrt(-2.0 * std::log(1.0 - this->random.unit()));
    double normal = radius * std::cos(2.0 * std::numbers::pi * this->random.unit());
    double value = median * std::exp(sigma * normal);
    return static_cast<std::uint32_t>(std::min<double>(value, maximum));
}

PromptShape Workload::next()
{
    PromptShape shape;
    shape.unique = ++this->drawn;
    if (this->random.unit() < this->settings.prefixShare) {
        shape.prefixId = static_cast<std::uint32_t>(1 + this->random.below(this->settings.prefixes));
        shape.prefixTokens = this->settings.prefixTokens;
    }
    std::uint32_t prompt = this->logNormal(
        this->settings.promptTokensMedian, this->settings.promptTokensSigma, this->settings.promptTokensMax);
    shape.ownTokens = std::max(prompt, MinPromptTokens);
    std::uint32_t output = this->logNormal(
        this->settings.outputTokensMedian, this->settings.outputTokensSigma, this->settings.outputTokensMax);
    shape.outputTokens = std::max(output, MinOutputTokens);
    return shape;
}

WorkloadMeans Workload::means(
    const WorkloadSettings& settings, double prefillTokensPerSecond, Duration firstTokenTarget)
{
    Workload sample(settings, SampleSeed);
    WorkloadMeans means;
    double targetSeconds = std::chrono::duration<double>(firstTokenTarget).count();
    for (int i = 0; i < SampleSize; ++i) {
        PromptShape shape = sample.next();
        means.uncachedPromptTokens += shape.ownTokens;
        means.promptTokens += shape.promptTokens();
        means.outputTokens += shape.outputTokens;
        if (shape.ownTokens / prefillTokensPerSecond > targetSeconds)
            means.infeasibleShare += 1;
    }
    means.uncachedPromptTokens /= SampleSize;
    means.promptTokens /= SampleSize;
    means.outputTokens /= SampleSize;
    means.infeasibleShare /= SampleSize;
    return means;
}

Duration poissonGap(RandomSource& random, double ratePerSecond)
{
    double gap = -std::log(1.0 - random.unit()) / ratePerSecond;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
}

} // namespace peridotgrade::bench
