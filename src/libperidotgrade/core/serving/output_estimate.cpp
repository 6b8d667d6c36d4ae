// Implementation of the estimate of output tokens.
#include "peridotgrade/core/serving/output_estimate.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    // Weight of the newest answer.
    constexpr double NewestWeight = 0.05;
    // Answers before the learned figures count.
    constexpr std::uint32_t FewestSamples = 20;
    // Without hint and experience: the share of the caller's limit that is reserved.
    constexpr double UnknownShare = 0.5;
    // What the streams that already run at an engine grow by before one of them ends: eight streams of 240
    // tokens a second, one of which ends every 0.4 s, need 770; half of it is in the estimate's own slack.
    constexpr std::uint32_t Margin = 400;
} // namespace

std::uint32_t OutputEstimate::reserveFor(
    const std::string& route, std::uint32_t hintTokens, std::uint32_t maxTokens) const
{
    auto found = this->routes.find(route);
    bool isLearned = found != this->routes.end() && found->second.samples >= FewestSamples;
    double expected = hintTokens;
    if (hintTokens > 0 && isLearned)
        expected = hintTokens * found->second.ratio;
    else if (hintTokens == 0)
        expected = isLearned ? found->second.meanTokens : maxTokens * UnknownShare;
    auto tokens = static_cast<std::uint32_t>(expected) + Margin;
    return std::min(tokens, std::max<std::uint32_t>(maxTokens, 1));
}

void OutputEstimate::record(const std::string& route, std::uint32_t hintTokens, std::uint32_t outputTokens)
{
    Learned& learned = this->routes[route];
    ++learned.samples;
    learned.meanTokens
        += (outputTokens - learned.meanTokens) / std::min<double>(learned.samples, 1 / NewestWeight);
    if (hintTokens > 0)
        learned.ratio += NewestWeight * (static_cast<double>(outputTokens) / hintTokens - learned.ratio);
    // Hints are right at the median, so the learned ratio stays near one.
    learned.ratio = std::clamp(learned.ratio, 0.7, 1.3);
}

} // namespace peridotgrade
