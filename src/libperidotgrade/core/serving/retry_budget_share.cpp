// Sliding-window accounting of the retry budget.
#include "peridotgrade/core/serving/retry_budget_share.h"

#include <algorithm>
#include <numeric>

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

void RetryBudgetShare::setShare(double value, TimePoint now)
{
    this->refill(now);
    this->capacity = UsableExtra * this->limits.extra * value;
    if (value > 0 && !this->hasStarted) {
        this->hasStarted = true;
        this->tokens = StartExtra * this->limits.extra * value;
    }
    this->tokens = std::min(this->tokens, this->capacity);
}

double RetryBudgetShare::left(TimePoint now)
{
    this->removeExpired(now);
    this->refill(now);
    return this->ratioLeft() + this->tokens;
}

bool RetryBudgetShare::trySpend(TimePoint now)
{
    if (this->left(now) < 1)
        return false;
    double amount = std::min(this->ratioLeft(), 1.0);
    if (amount > 0)
        this->paidByRatio.push_back({ now, amount });
    this->tokens = std::max(this->tokens - (1 - amount), 0.0);
    return true;
}

double RetryBudgetShare::ratioLeft() const
{
    double allowed = UsableRatio * this->limits.ratio * static_cast<double>(this->requests.size());
    double paid = std::accumulate(this->paidByRatio.begin(), this->paidByRatio.end(), 0.0,
        [](double sum, const Payment& payment) { return sum + payment.amount; });
    return std::max(allowed - paid, 0.0);
}

void RetryBudgetShare::refill(TimePoint now)
{
    double windows = std::chrono::duration<double>(now - this->refilledAt) / this->limits.window;
    this->tokens = std::min(this->capacity, this->tokens + this->capacity * std::max(windows, 0.0));
    this->refilledAt = now;
}

void RetryBudgetShare::removeExpired(TimePoint now)
{
    while (!this->requests.empty() && this->requests.front() + this->limits.window <= now)
        this->requests.pop_front();
    while (!this->paidByRatio.empty() && this->paidByRatio.front().at + this->limits.window <= now)
        this->paidByRatio.pop_front();
}

} // namespace peridotgrade
