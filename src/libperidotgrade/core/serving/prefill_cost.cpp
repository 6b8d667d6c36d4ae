// Trimmed least-squares fit of prefill times.
#include "peridotgrade/core/serving/prefill_cost.h"

#include <algorithm>
#include <cmath>

namespace peridotgrade {

namespace {
    // Rounds of fitting and keeping the quickest; the fit changes little after the third.
    constexpr int FitRounds = 4;

    Duration durationOf(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }
} // namespace

void PrefillCost::record(std::uint32_t tokens, Duration took)
{
    this->samples.push_back({ static_cast<double>(tokens), std::chrono::duration<double>(took).count() });
    if (this->samples.size() > MaxSamples)
        this->samples.pop_front();
    if (this->samples.size() >= MinSamples)
        this->refit();
}

std::optional<Duration> PrefillCost::estimate(std::uint32_t tokens) const
{
    if (!this->line)
        return std::nullopt;
    return durationOf(this->line->at(tokens));
}

Duration PrefillCost::atMeanSize(std::uint32_t tokens, Duration took) const
{
    double mean = this->samples.empty() ? tokens : this->meanTokens();
    double size = std::max(tokens, 1U);
    double factor = this->line ? this->line->at(mean) / this->line->at(size) : mean / size;
    bool isUsable = std::isfinite(factor) && factor > 0;
    return isUsable ? std::chrono::duration_cast<Duration>(took * factor) : took;
}

std::optional<Duration> PrefillCost::meanOccupancy() const
{
    if (!this->line)
        return std::nullopt;
    double mean = this->meanTokens();
    return durationOf(std::max(this->line->perToken * mean, MinOccupancyShare * this->line->at(mean)));
}

std::uint32_t PrefillCost::meanTokens() const
{
    double total = 0;
    for (const Sample& sample : this->samples)
        total += sample.tokens;
    return static_cast<std::uint32_t>(total / std::max<double>(static_cast<double>(this->samples.size()), 1));
}

PrefillCost::Line PrefillCost::fit(const std::deque<Sample>& samples, std::size_t count)
{
    double sumTokens = 0;
    double sumSeconds = 0;
    double sumSquares = 0;
    double sumProducts = 0;
    for (std::size_t index = 0; index < count; ++index) {
        const Sample& sample = samples[index];
        sumTokens += sample.tokens;
        sumSeconds += sample.seconds;
        sumSquares += sample.tokens * sample.tokens;
        sumProducts += sample.tokens * sample.seconds;
    }
    auto size = static_cast<double>(count);
    double spread = sumSquares - sumTokens * sumTokens / size;
    Line line;
    if (spread > 0)
        line.perToken = std::max(0.0, (sumProducts - sumTokens * sumSeconds / size) / spread);
    line.fixed = (sumSeconds - line.perToken * sumTokens) / size;
    // Neither part of the time can be negative.
    if (line.fixed < 0)
        line = { 0, sumProducts / sumSquares };
    return line;
}

void PrefillCost::refit()
{
    std::deque<Sample> ordered = this->samples;
    Line current = fit(ordered, ordered.size());
    auto quick = std::max(MinSamples / 2,
        static_cast<std::size_t>(std::ceil(QuickShare * static_cast<double>(ordered.size()))));
    for (int round = 0; round < FitRounds; ++round) {
        std::sort(ordered.begin(), ordered.end(), [&](const Sample& one, const Sample& other) {
            return one.seconds - current.at(one.tokens) < other.seconds - current.at(other.tokens);
        });
        current = fit(ordered, quick);
    }
    this->line = current;
}

} // namespace peridotgrade
