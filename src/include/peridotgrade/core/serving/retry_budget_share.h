// An entry's share of the retry budget that all entries have for a service.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace peridotgrade {

/// Limits of the retries that all entries together may send to a service.
struct RetryBudgetLimits {
    /// Retries for each request within the window.
    double ratio = 0;
    /// Retries beyond that, for all entries together.
    double extra = 0;
    std::chrono::milliseconds window { 10000 };
};

/// Allows retries up to the ratio of the entry's own requests plus its share of the fixed allowance, counted
/// over a sliding window. The shares of all entries sum to at most one, so their retries stay within the
/// limits for any number of entries. There is one object for each service. Not thread safe.
class RetryBudgetShare {
public:
    /// Usable part of the ratio, which applies to this entry's own requests: the window in which the limit is
    /// checked and this window may start at different times.
    static constexpr double UsableRatio = 0.85;
    /// Usable part of the fixed allowance: a share may move to another entry within a window, and be spent by
    /// both.
    static constexpr double UsableExtra = 0.5;

    explicit RetryBudgetShare(RetryBudgetLimits limits);

    /// Sets this entry's share of the fixed allowance, 0 to 1.
    void setShare(double value) { this->share = value; }
    void recordRequest(TimePoint now);
    /// Takes one retry from the budget; returns false if none is left.
    bool trySpend(TimePoint now);
    /// Retries that are left now; below one, none is.
    double left(TimePoint now);

private:
    void removeExpired(TimePoint now);

    RetryBudgetLimits limits;
    double share = 0;
    std::deque<TimePoint> requests;
    std::deque<TimePoint> spent;
};

} // namespace peridotgrade
