// Metrics of the requests of an entry's callers.
#pragma once

#include "peridotgrade/core/base/outcome.h"
#include "peridotgrade/ops/metrics.h"

namespace peridotgrade {

/// Caches references into the registry.
struct EntryMetrics {
    explicit EntryMetrics(MetricsRegistry& registry);

    void countOutcome(Outcome outcome);
    void countRefusal(RefusalReason reason);

    MetricsRegistry& registry;
    Counter& modelRequests;
    Counter& calls;
    Counter& cancelled;
    /// Complete answers whose first token and at least 95 % of whose inter-token gaps were within the
    /// targets.
    Counter& withinTargets;
    Counter& tokens;
    Counter& malformedRequests;
    Counter& unauthorizedRequests;
    Distribution& firstToken;
    Distribution& interToken;
};

} // namespace peridotgrade
