// Least-squares fit with exponentially decaying weights.
#include "handover_estimate.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    // Factor on all older weights at each new hand-over; about the last 200 hand-overs count.
    constexpr double DecayFactor = 0.995;
    // Prompts of nearly equal size determine no slope.
    constexpr double MinVariance = 1.0;
} // namespace

void HandoverEstimate::record(std::uint32_t promptTokens, Duration duration)
{
    double x = promptTokens;
    double y = std::chrono::duration<double>(duration).count();
    this->weight = this->weight * DecayFactor + 1;
    this->sumX = this->sumX * DecayFactor + x;
    this->sumY = this->sumY * DecayFactor + y;
    this->sumXX = this->sumXX * DecayFactor + x * x;
    this->sumXY = this->sumXY * DecayFactor + x * y;
}

Duration HandoverEstimate::expected(std::uint32_t promptTokens) const
{
    if (this->weight == 0)
        return Duration::zero();
    double meanX = this->sumX / this->weight;
    double meanY = this->sumY / this->weight;
    double variance = this->sumXX / this->weight - meanX * meanX;
    double covariance = this->sumXY / this->weight - meanX * meanY;
    double slope = variance < MinVariance ? 0 : std::max(0.0, covariance / variance);
    double seconds = std::max(0.0, meanY + slope * (promptTokens - meanX));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace peridotgrade
