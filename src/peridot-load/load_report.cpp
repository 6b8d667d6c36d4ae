// Aggregates and formats the results of a load run.
#include "load_report.h"

#include <algorithm>
#include <cstdio>

namespace peridotgrade::load {

namespace {

    // At least 95 % of an answer's inter-token gaps must be within the objective.
    constexpr std::size_t MinGapsPerLateGap = 20;

    std::string fixed(double value)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%.3f", value);
        return text;
    }

    double milliseconds(Duration value)
    {
        return std::chrono::duration<double, std::milli> { value }.count();
    }

} // namespace

Duration Samples::quantile(double probability) const
{
    if (this->values.empty())
        return Duration { 0 };
    auto rank = static_cast<std::size_t>(probability * static_cast<double>(this->values.size() - 1));
    auto at = this->values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(this->values.begin(), at, this->values.end());
    return *at;
}

std::string Samples::text() const
{
    return "p50_ms=" + fixed(milliseconds(this->quantile(0.5))) + " p95_ms="
        + fixed(milliseconds(this->quantile(0.95))) + " p99_ms=" + fixed(milliseconds(this->quantile(0.99)));
}

bool LoadReport::meetsObjectives(const LoadResult& result) const
{
    bool isFirstInTime = result.firstToken && *result.firstToken <= this->objectives.firstToken;
    auto late = std::count_if(result.gaps.begin(), result.gaps.end(),
        [this](Duration gap) { return gap > this->objectives.interToken; });
    return isFirstInTime && static_cast<std::size_t>(late) * MinGapsPerLateGap <= result.gaps.size();
}

void LoadReport::add(const LoadResult& result)
{
    ++this->sent;
    this->tokenCount += result.tokens;
    if (result.firstToken)
        this->firsts.add(*result.firstToken);
    this->gaps.add(result.gaps);
    switch (result.outcome) {
    case LoadOutcome::Answered:
        ++this->answered;
        this->withinTargets += this->meetsObjectives(result) ? 1 : 0;
        break;
    case LoadOutcome::Wrong:
        ++this->wrong;
        break;
    case LoadOutcome::Refused:
        ++this->refusals[result.code];
        break;
    case LoadOutcome::Unknown:
        ++this->unknown;
        break;
    case LoadOutcome::ConnectionFailed:
        ++this->connectionFailures;
        break;
    }
}

std::string LoadReport::text(Duration elapsed) const
{
    double seconds = std::chrono::duration<double> { elapsed }.count();
    double goodput
        = this->sent == 0 ? 0 : static_cast<double>(this->withinTargets) / static_cast<double>(this->sent);
    std::string out;
    out += "sent=" + std::to_string(this->sent) + " answered=" + std::to_string(this->answered)
        + " within_targets=" + std::to_string(this->withinTargets) + " goodput_share=" + fixed(goodput)
        + " wrong=" + std::to_string(this->wrong) + " unknown=" + std::to_string(this->unknown)
        + " connection_failures=" + std::to_string(this->connectionFailures) + "\n";
    out += "seconds=" + fixed(seconds)
        + " requests_per_second=" + fixed(static_cast<double>(this->sent) / seconds)
        + " tokens_per_second=" + fixed(static_cast<double>(this->tokenCount) / seconds) + "\n";
    out += "first_token " + this->firsts.text() + "\n";
    out += "inter_token " + this->gaps.text() + "\n";
    for (const auto& [code, count] : this->refusals)
        out += "refused reason=" + code + " count=" + std::to_string(count) + "\n";
    return out;
}

} // namespace peridotgrade::load
