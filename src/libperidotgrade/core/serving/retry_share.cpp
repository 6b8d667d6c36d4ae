// Implementation of an entry's part of the retry budget.
#include "peridotgrade/core/serving/retry_share.h"

namespace peridotgrade {

RetryShare::RetryShare(RetryBounds bounds)
    : bounds(bounds)
{
}

void RetryShare::recordRequest(TimePoint now)
{
    this->forgetOld(now);
    this->requests.push_back(now);
}

bool RetryShare::trySpend(TimePoint now)
{
    this->forgetOld(now);
    double allowed = UsableRatio * this->bounds.ratio * static_cast<double>(this->requests.size())
        + UsableExtra * this->bounds.extra * this->part;
    if (static_cast<double>(this->spent.size()) + 1 > allowed)
        return false;
    this->spent.push_back(now);
    return true;
}

void RetryShare::forgetOld(TimePoint now)
{
    for (std::deque<TimePoint>* times : { &this->requests, &this->spent }) {
        while (!times->empty() && times->front() + this->bounds.window <= now)
            times->pop_front();
    }
}

} // namespace peridotgrade
