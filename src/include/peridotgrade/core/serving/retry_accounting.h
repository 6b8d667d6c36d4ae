// Decides which sends of one request count against the retry budget.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/retry_budget_share.h"

#include <cstdint>

namespace peridotgrade {

/// Takes from the retry budget for every send of one request beyond the first that reached a server. A send
/// that certainly reached none, as when the connection was refused, costs nothing because it adds no load.
/// Prefills and runs are counted separately, since every request needs one of each. Not thread safe.
class RetryAccounting {
public:
    /// `urgency` is 0 for the most urgent requests, for which a part of the budget is kept.
    explicit RetryAccounting(RetryBudgetShare& budget, std::uint32_t urgency = 0)
        : budget(budget)
        , urgency(urgency)
    {
    }

    /// Called before a send. Returns false if it would be a retry and the budget is spent.
    bool tryPrefill(TimePoint now) { return this->trySend(this->prefills, now); }
    bool tryRun(TimePoint now) { return this->trySend(this->runs, now); }
    /// The send reached a server, or may have.
    void notePrefillReached() { ++this->prefills; }
    void noteRunReached() { ++this->runs; }

    std::uint32_t prefillsReached() const { return this->prefills; }
    bool isNextRunRetry() const { return this->runs > 0; }
    /// True if the budget covers the retries of a round that needs a run, and a prefill if `needsPrefill`.
    bool coversRound(bool needsPrefill, TimePoint now) const
    {
        double needed = (this->runs > 0 ? 1 : 0) + (needsPrefill && this->prefills > 0 ? 1 : 0);
        return needed == 0 || this->budget.left(now, this->urgency) >= needed;
    }

private:
    bool trySend(std::uint32_t reached, TimePoint now)
    {
        return reached == 0 || this->budget.trySpend(now, this->urgency);
    }

    RetryBudgetShare& budget;
    const std::uint32_t urgency;
    std::uint32_t prefills = 0;
    std::uint32_t runs = 0;
};

} // namespace peridotgrade
