// Sliding-window accounting of the retry budget.
#include "peridotgrade/core/serving/retry_budget_share.h"

namespace peridotgrade {

RetryBudgetShare::RetryBudgetShare(RetryBudgetLimits limits)
    : limits(limits)
{
}

void RetryBudgetShare::recordRequest(TimePoint now)
{
    this->removeExpired(now);
    this->requests.push_back(now);
}

double RetryBudgetShare::left(TimePoint now)
{
    this->removeExpired(now);
    double allowed = UsableRatio * this->limits.ratio * static_cast<double>(this->requests.size())
        + UsableExtra * this->limits.extra * this->share;
    return allowed - static_cast<double>(this->spent.size());
}

bool RetryBudgetShare::trySpend(TimePoint now)
{
    if (this->left(now) < 1)
        return false;
    this->spent.push_back(now);
    return true;
}

void RetryBudgetShare::removeExpired(TimePoint now)
{
    for (std::deque<TimePoint>* times : { &this->requests, &this->spent }) {
        while (!times->empty() && times->front() + this->limits.window <= now)
            times->pop_front();
    }
}

} // namespace peridotgrade
