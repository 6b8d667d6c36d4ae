// Which sends of one request count against the retry budget.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/retry_budget_share.h"

#include <cstdint>

namespace peridotgrade {

/// Spends from the retry budget for each send of one request beyond the first that reached a server. What
/// certainly reached none, as when the connection was refused, costs nothing: it is no load. Prefills and
/// runs are counted apart, since the first of each belongs to every request. Not thread safe.
class RetryAccounting {
public:
    explicit RetryAccounting(RetryBudgetShare& retries)
        : retries(retries)
    {
    }

    /// Before a send; false if it would be a further one and the budget is spent.
    bool tryPrefill(TimePoint now) { return this->trySend(this->prefills, now); }
    bool tryRun(TimePoint now) { return this->trySend(this->runs, now); }
    /// A server received the send, or may have.
    void notePrefillReached() { ++this->prefills; }
    void noteRunReached() { ++this->runs; }

    std::uint32_t prefillsReached() const { return this->prefills; }
    /// True if the next run would be a further one.
    bool isNextRunRetry() const { return this->runs > 0; }

private:
    bool trySend(std::uint32_t reached, TimePoint now) { return reached == 0 || this->retries.trySpend(now); }

    RetryBudgetShare& retries;
    std::uint32_t prefills = 0;
    std::uint32_t runs = 0;
};

} // namespace peridotgrade
