// Rate estimate of the queue forecast.
#include "peridotgrade/core/serving/queue_forecast.h"

#include <algorithm>

namespace peridotgrade {

void QueueForecast::noteGrant(TimePoint now, std::uint32_t tokens)
{
    this->removeExpired(now);
    this->grants.push_back({ now, tokens });
    this->granted += tokens;
}

void QueueForecast::noteIdle()
{
    this->busySince.reset();
    this->grants.clear();
    this->granted = 0;
}

void QueueForecast::noteBusy(TimePoint now)
{
    if (!this->busySince)
        this->busySince = now;
}

std::optional<double> QueueForecast::tokensPerSecond(TimePoint now)
{
    this->removeExpired(now);
    if (!this->busySince || now - *this->busySince < MinSampleTime)
        return std::nullopt;
    Duration sample = std::min<Duration>(now - *this->busySince, Window);
    return static_cast<double>(this->granted) / std::chrono::duration<double>(sample).count();
}

bool QueueForecast::canServe(
    TimePoint now, std::uint64_t tokensAhead, Duration wait, ForecastCertainty certainty)
{
    bool isHigh = certainty == ForecastCertainty::High;
    double tolerance = isHigh ? HighCertaintyTolerance : RateTolerance;
    auto rate = this->tokensPerSecond(now);
    return !rate || (isHigh && *rate == 0)
        || static_cast<double>(tokensAhead)
        <= tolerance * *rate * std::chrono::duration<double>(wait).count();
}

void QueueForecast::removeExpired(TimePoint now)
{
    while (!this->grants.empty() && this->grants.front().at + Window <= now) {
        this->granted -= this->grants.front().tokens;
        this->grants.pop_front();
    }
}

} // namespace peridotgrade
