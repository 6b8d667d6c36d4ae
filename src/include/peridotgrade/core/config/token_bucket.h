// A token bucket whose time is handed in.
#pragma once

#include "peridotgrade/core/base/time.h"

namespace peridotgrade {

/// Fills at a rate up to what the rate gives in `burst`. Costs that are known only afterwards may drive it
/// below zero; nothing is granted until it has filled again. Not thread safe.
class TokenBucket {
public:
    TokenBucket(double ratePerSecond, Duration burst, TimePoint now);

    /// The level is kept, within the new bounds.
    void changeRate(double ratePerSecond, TimePoint now);

    /// True if something is left.
    bool hasAny(TimePoint now);
    void take(double amount, TimePoint now);
    /// How long until something is left.
    Duration waitTime(TimePoint now);

private:
    void fill(TimePoint now);
    double capacity() const;

    double ratePerSecond;
    Duration burst;
    /// Invariant: at most `capacity()`.
    double level;
    TimePoint filledAt;
};

} // namespace peridotgrade
