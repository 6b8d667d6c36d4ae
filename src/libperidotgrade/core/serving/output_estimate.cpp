// Learned output lengths by route.
#include "peridotgrade/core/serving/output_estimate.h"

#include <algorithm>
#include <cmath>

namespace peridotgrade {

namespace {
    // Weight of the newest answer in the moving averages.
    constexpr double NewestWeight = 0.05;
    // Answers needed before the learned values are used.
    constexpr std::uint32_t MinSamples = 20;
    // Share of the caller's limit that is reserved without a hint and without learned values.
    constexpr double DefaultOutputShare = 0.5;
    // Hints are used unless they are worse than the mean by more than the averages vary by chance.
    constexpr double MaxHintError = 1.25;
    // Growth of the streams that already run at an engine before one of them ends: eight streams of 240
    // tokens per second, one of which ends every 0.4 s, need 770 tokens. The slack of the estimate itself
    // covers half of that.
    constexpr std::uint32_t MarginTokens = 400;
} // namespace

std::uint32_t OutputEstimate::expectedTokens(
    const std::string& route, std::uint32_t hintTokens, std::uint32_t maxTokens) const
{
    auto found = this->routes.find(route);
    bool hasEnoughSamples = found != this->routes.end() && found->second.samples >= MinSamples;
    double expected = maxTokens * DefaultOutputShare;
    if (hasEnoughSamples) {
        const RouteStatistics& statistics = found->second;
        bool isHintWrong
            = statistics.hints >= MinSamples && statistics.hintError > statistics.meanError * MaxHintError;
        bool usesHint = hintTokens > 0 && !isHintWrong;
        expected = usesHint ? hintTokens * statistics.ratio : statistics.meanTokens;
    } else if (hintTokens > 0) {
        expected = hintTokens;
    }
    return static_cast<std::uint32_t>(std::min<double>(expected, std::max<std::uint32_t>(maxTokens, 1)));
}

std::uint32_t OutputEstimate::tokensToReserve(
    const std::string& route, std::uint32_t hintTokens, std::uint32_t maxTokens) const
{
    std::uint64_t tokens
        = std::uint64_t { this->expectedTokens(route, hintTokens, maxTokens) } + MarginTokens;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, std::max<std::uint32_t>(maxTokens, 1)));
}

void OutputEstimate::noteErrors(
    RouteStatistics& statistics, std::uint32_t hintTokens, std::uint32_t outputTokens)
{
    double weight = std::max(NewestWeight, 1.0 / ++statistics.hints);
    double hintError = std::abs(std::log(outputTokens / (hintTokens * statistics.ratio)));
    double meanError = std::abs(std::log(outputTokens / std::max(statistics.meanTokens, 1.0)));
    statistics.hintError += weight * (hintError - statistics.hintError);
    statistics.meanError += weight * (meanError - statistics.meanError);
}

void OutputEstimate::record(const std::string& route, std::uint32_t hintTokens, std::uint32_t outputTokens)
{
    RouteStatistics& statistics = this->routes[route];
    if (hintTokens > 0 && statistics.samples >= MinSamples)
        noteErrors(statistics, hintTokens, std::max(outputTokens, 1U));
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
