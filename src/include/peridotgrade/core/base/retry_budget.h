// The retry budget: retries and hedges as a bounded share of successes.
#pragma once

#include <cstdint>

namespace peridotgrade {

/// Bounds how much extra load retries may add. Each success earns a share of one retry, each retry or hedge
/// spends a whole one, so that in a long outage the sum of attempts stays below (1 + share) of the requests
/// plus the initial reserve. One budget for each service and entry shard. Not thread safe.
class RetryBudget {
public:
    /// `share` is the retries earned by one success, 0 to 1; `reserve` the most that can be saved up, and
    /// what a new budget starts with, so that a quiet service can still retry.
    RetryBudget(double share, double reserve);

    void recordSuccess();

    /// Takes one retry from the budget; false if there is none left.
    bool trySpend();

    double available() const { return this->balance; }

private:
    double share;
    double reserve;
    /// Invariant: within [0, reserve].
    double balance;
};

} // namespace peridotgrade
