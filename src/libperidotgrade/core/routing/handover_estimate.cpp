// Least squares with exponential forgetting.
#include "handover_estimate.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    // Share of the weight that is kept at each new hand-over: about the last two hundred count.
    constexpr double Kept = 0.995;
    // With prompts of nearly one size there is no slope to be had.
    constexpr double LeastSpread = 1.0;
} // namespace

void HandoverEstimate::record(std::uint32_t promptTokens, Duration took)
{
    double x = promptTokens;
    double y = std::chrono::duration<double>(took).count();
    this->weight = this->weight * Kept + 1;
    this->sumX = this->sumX * Kept + x;
    this->sumY = this->sumY * Kept + y;
    this->sumXX = this->sumXX * Kept + x * x;
    this->sumXY = this->sumXY * Kept + x * y;
}

Duration HandoverEstimate::expected(std::uint32_t promptTokens) const
{
    if (this->weight == 0)
        return Duration::zero();
    double meanX = this->sumX / this->weight;
    double meanY = this->sumY / this->weight;
    double spread = this->sumXX / this->weight - meanX * meanX;
    double together = this->sumXY / this->weight - meanX * meanY;
    double slope = spread < LeastSpread ? 0 : std::max(0.0, together / spread);
    double seconds = std::max(0.0, meanY + slope * (promptTokens - meanX));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace peridotgrade
