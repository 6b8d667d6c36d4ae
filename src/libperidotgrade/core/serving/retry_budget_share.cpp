// Implementation of an entry's part of the retry budget.
#include "peridotgrade/core/serving/retry_budget_share.h"

namespace peridotgrade {

RetryBudgetShare::RetryBudgetShare(RetryBudgetLimits bounds)
    : bounds(bounds)
{
}

void RetryBudgetShare::recordRequest(TimePoint now)
{
    this->forgetOld(now);
    this->requests.push_back(now);
}

bool RetryBudgetShare::trySpend(TimePoint now)
{
    this->forgetOld(now);
    double allowed = UsableRatio * this->bounds.ratio * static_cast<double>(this->requests.size())
        + UsableExtra * this->bounds.extra * this->part;
    if (static_cast<double>(this->spent.size()) + 1 > allowed)
        return false;
    this->spent.push_back(now);
    return true;
}

void RetryBudgetShare::forgetOld(TimePoint now)
{
    for (std::deque<TimePoint>* times : { &this->requests, &this->spent }) {
        while (!times->empty() && times->front() + this->bounds.window <= now)
            times->pop_front();
    }
}

} // namespace peridotgrade
