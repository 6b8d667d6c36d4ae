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

bool QueueForecast::canServe(TimePoint now, std::uint64_t tokensAhead, Duration wait)
{
    this->removeExpired(now);
    if (!this->busySince || now - *this->busySince < MinSampleTime)
        return true;
    Duration sample = std::min<Duration>(now - *this->busySince, Window);
    double rate = static_cast<double>(this->granted) / std::chrono::duration<double>(sample).count();
    return static_cast<double>(tokensAhead)
        <= RateTolerance * rate * std::chrono::duration<double>(wait).count();
}

void QueueForecast::removeExpired(TimePoint now)
{
    while (!this->grants.empty() && this->grants.front().at + Window <= now) {
        this->granted -= this->grants.front().tokens;
        this->grants.pop_front();
    }
}

} // namespace peridotgrade
