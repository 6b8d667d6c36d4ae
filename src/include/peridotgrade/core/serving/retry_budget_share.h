// An entry's part of the retries that all entries together may add to a service.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace peridotgrade {

/// What all entries together may add to a service.
struct RetryBudgetLimits {
    /// Further sends for each request within the window.
    double ratio = 0;
    /// Further sends beyond that, for all entries together.
    double extra = 0;
    std::chrono::milliseconds window { 10000 };
};

/// Lets an entry spend the ratio on its own requests and its part of the fixed allowance, counted over a
/// sliding window. The parts of all entries sum to one at most, so the sum over entries stays within the
/// bounds whatever their number. One for each service. Not thread safe.
class RetryBudgetShare {
public:
    /// Of the ratio, which is on this entry's own requests: the windows of the bound and ours may be cut
    /// differently.
    static constexpr double UsableRatio = 0.85;
    /// Of the fixed allowance: a part may change hands within a window, and be spent by both.
    static constexpr double UsableExtra = 0.5;

    explicit RetryBudgetShare(RetryBudgetLimits limits);

    /// This entry's part of the fixed allowance, 0 to 1.
    void setShare(double value) { this->share = value; }
    void recordRequest(TimePoint now);
    /// Takes one further send; false if there is none left.
    bool trySpend(TimePoint now);

private:
    void removeExpired(TimePoint now);

    RetryBudgetLimits limits;
    double share = 0;
    std::deque<TimePoint> requests;
    std::deque<TimePoint> spent;
};

} // namespace peridotgrade
