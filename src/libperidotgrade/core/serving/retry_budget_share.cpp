// Sliding-window accounting of the retry budget.
#include "peridotgrade/core/serving/retry_budget_share.h"

#include <algorithm>
#include <numeric>

namespace peridotgrade {

RetryBudgetShare::RetryBudgetShare(RetryBudgetLimits limits)
    : limits(limits)
{
}

void RetryBudgetShare::recordRequest(TimePoint now, std::uint32_t urgency)
{
    this->removeExpired(now);
    this->requests.push_back({ now, urgency });
}

void RetryBudgetShare::setShare(double value, TimePoint now)
{
    this->refill(now);
    this->rate.capacity = UsableExtra * this->limits.extra * value;
    this->rate.perSecond = this->rate.capacity / std::chrono::duration<double>(this->limits.window).count();
    if (value > 0 && !this->hasStarted) {
        this->hasStarted = true;
        this->bucket = TokenBucket(StartExtra * this->limits.extra * value, now);
    }
    this->bucket.limitTo(this->rate.capacity);
}

double RetryBudgetShare::left(TimePoint now, std::uint32_t urgency)
{
    this->removeExpired(now);
    this->refill(now);
    return std::max(this->ratioLeft() + this->bucket.tokens() - this->keptFrom(urgency), 0.0);
}

double RetryBudgetShare::keptFrom(std::uint32_t urgency) const
{
    bool isLessUrgent = std::any_of(this->requests.begin(), this->requests.end(),
        [urgency](const Request& request) { return request.urgency < urgency; });
    if (!isLessUrgent)
        return 0;
    double full = this->ratioAllowed() + this->rate.capacity;
    // A small budget that is full still allows one retry to anyone.
    return std::min(KeptForUrgent * full, std::max(full - 1, 0.0));
}

bool RetryBudgetShare::trySpend(TimePoint now, std::uint32_t urgency)
{
    if (this->left(now, urgency) < 1)
        return false;
    double amount = std::min(this->ratioLeft(), 1.0);
    if (amount > 0)
        this->paidByRatio.push_back({ now, amount });
    this->bucket.take(std::min(1 - amount, this->bucket.tokens()));
    return true;
}

double RetryBudgetShare::ratioAllowed() const
{
    return UsableRatio * this->limits.ratio * static_cast<double>(this->requests.size());
}

double RetryBudgetShare::ratioLeft() const
{
    double allowed = this->ratioAllowed();
    double paid = std::accumulate(this->paidByRatio.begin(), this->paidByRatio.end(), 0.0,
        [](double sum, const Payment& payment) { return sum + payment.amount; });
    return std::max(allowed - paid, 0.0);
}

void RetryBudgetShare::refill(TimePoint now) { this->bucket.refill(this->rate, now); }

void RetryBudgetShare::removeExpired(TimePoint now)
{
    while (!this->requests.empty() && this->requests.front().at + this->limits.window <= now)
        this->requests.pop_front();
    while (!this->paidByRatio.empty() && this->paidByRatio.front().at + this->limits.window <= now)
        this->paidByRatio.pop_front();
}

} // namespace peridotgrade
