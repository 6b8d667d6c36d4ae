// Balance of the retry budget.
#include "peridotgrade/core/base/retry_budget.h"

#include <algorithm>

namespace peridotgrade {

RetryBudget::RetryBudget(double share, double reserve)
    : share(share)
    , reserve(reserve)
    , balance(reserve)
{
}

void RetryBudget::recordSuccess() { this->balance = std::min(this->reserve, this->balance + this->share); }

bool RetryBudget::trySpend()
{
    if (this->balance < 1.0)
        return false;
    this->balance -= 1.0;
    return true;
}

} // namespace peridotgrade
