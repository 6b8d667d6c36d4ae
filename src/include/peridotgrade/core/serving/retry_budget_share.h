// An entry's share of the retry budget that all entries have for a service.
#pragma once

#include "peridotgrade/core/admission/token_bucket.h"
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

/// Allows retries up to the ratio of the entry's own requests within a sliding window, plus its share of the
/// fixed allowance. The shares of all entries sum to at most one, so their retries stay within the limits for
/// any number of entries. There is one object for each service. Not thread safe.
///
/// The fixed allowance is a token bucket that holds the share and refills once in a window. A share that is
/// gained brings no tokens, since its former holder may have spent them. Only the first share of an entry
/// brings a few, so that it can retry at once after its start. So within a window all entries together spend
/// what their buckets held at its begin, what refills since, and what starts bring, however often shares
/// move.
class RetryBudgetShare {
public:
    /// Usable part of the ratio, which applies to this entry's own requests: the window in which the limit is
    /// checked and this window may start at different times.
    static constexpr double UsableRatio = 0.85;
    /// Part of the fixed allowance in the buckets: within one window full buckets and their refill may be
    /// spent.
    static constexpr double UsableExtra = 0.4;
    /// Part of the fixed allowance that the first share brings at once. The rest of the allowance covers two
    /// starts of every entry within a window.
    static constexpr double StartExtra = 0.1;

    /// Part of a full budget that only the most urgent requests of the window may spend. They are a quarter
    /// of the traffic and would otherwise find the budget spent in a burst of failures.
    static constexpr double KeptForUrgent = 0.3;

    explicit RetryBudgetShare(RetryBudgetLimits limits);

    /// Sets this entry's share of the fixed allowance, 0 to 1.
    void setShare(double value, TimePoint now);
    /// `urgency` is 0 for the most urgent; it is the same for all requests where there are no priorities.
    void recordRequest(TimePoint now, std::uint32_t urgency = 0);
    /// Takes one retry from the budget; returns false if none is left for a request of that urgency.
    bool trySpend(TimePoint now, std::uint32_t urgency = 0);
    /// Retries that are left now for such a request; below one, none is.
    double left(TimePoint now, std::uint32_t urgency = 0);

private:
    void removeExpired(TimePoint now);
    void refill(TimePoint now);
    /// Part of the budget that a request of that urgency leaves to more urgent ones.
    double keptFrom(std::uint32_t urgency) const;
    double ratioAllowed() const;
    /// Retries that the ratio still allows; zero if requests that allowed some have expired.
    double ratioLeft() const;

    struct Request {
        TimePoint at;
        std::uint32_t urgency = 0;
    };
    /// Part of a retry that the ratio paid for; the bucket paid for the rest.
    struct Payment {
        TimePoint at;
        double amount = 0;
    };

    RetryBudgetLimits limits;
    /// The capacity flows in once in a window. Invariant: the bucket holds at most the capacity.
    TokenRate rate;
    TokenBucket bucket;
    /// The entry has had a share before.
    bool hasStarted = false;
    std::deque<Request> requests;
    std::deque<Payment> paidByRatio;
};

} // namespace peridotgrade
