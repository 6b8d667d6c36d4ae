// Learned output lengths by route.
#include "peridotgrade/core/serving/output_estimate.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    // Weight of the newest answer in the moving averages.
    constexpr double NewestWeight = 0.05;
    // Answers needed before the learned values are used.
    constexpr std::uint32_t MinSamples = 20;
    // Share of the caller's limit that is reserved without a hint and without learned values.
    constexpr double DefaultOutputShare = 0.5;
    // Growth of the streams that already run at an engine before one of them ends: eight streams of 240
    // tokens per second, one of which ends every 0.4 s, need 770 tokens. The slack of the estimate itself
    // covers half of that.
    constexpr std::uint32_t MarginTokens = 400;
} // namespace

std::uint32_t OutputEstimate::tokensToReserve(
    const std::string& route, std::uint32_t hintTokens, std::uint32_t maxTokens) const
{
    auto found = this->routes.find(route);
    bool hasEnoughSamples = found != this->routes.end() && found->second.samples >= MinSamples;
    double expected = hintTokens;
    if (hintTokens > 0 && hasEnoughSamples)
        expected = hintTokens * found->second.ratio;
    else if (hintTokens == 0)
        expected = hasEnoughSamples ? found->second.meanTokens : maxTokens * DefaultOutputShare;
    auto tokens = static_cast<std::uint32_t>(expected) + MarginTokens;
    return std::min(tokens, std::max<std::uint32_t>(maxTokens, 1));
}

void OutputEstimate::record(const std::string& route, std::uint32_t hintTokens, std::uint32_t outputTokens)
{
    RouteStatistics& statistics = this->routes[route];
    ++statistics.samples;
    statistics.meanTokens
        += (outputTokens - statistics.meanTokens) / std::min<double>(statistics.samples, 1 / NewestWeight);
    if (hintTokens > 0)
        statistics.ratio
            += NewestWeight * (static_cast<double>(outputTokens) / hintTokens - statistics.ratio);
    // Hints are correct at the median, so the learned ratio stays near one.
    statistics.ratio = std::clamp(statistics.ratio, 0.7, 1.3);
}

} // namespace peridotgrade
