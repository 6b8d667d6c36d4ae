// The retry budget: limits retries and hedged requests to a share of successes.
#pragma once

#include <cstdint>

namespace peridotgrade {

/// Bounds the extra load that retries may add. Each success earns a share of one retry, and each retry or
/// hedged request spends a whole one, so that in a long outage the number of attempts stays below (1 + share)
/// times the number of requests plus the initial reserve. There is one budget for each service and entry
/// shard. Not thread safe.
class RetryBudget {
public:
    /// `share` is the fraction of a retry that one success earns, 0 to 1. `reserve` is the largest balance,
    /// with which a new budget starts, so that a service with little traffic can still retry.
    RetryBudget(double share, double reserve);

    void recordSuccess();

    /// Spends one retry; false if less than one is left.
    bool trySpend();

    double available() const { return this->balance; }

private:
    double share;
    double reserve;
    /// Invariant: within [0, reserve].
    double balance;
};

} // namespace peridotgrade
