// What an entry counts about its callers' requests.
#pragma once

#include "peridotgrade/core/base/outcome.h"
#include "peridotgrade/ops/metrics.h"

namespace peridotgrade {

/// References into the registry, looked up once.
struct EntryMetrics {
    explicit EntryMetrics(MetricsRegistry& registry);

    void countOutcome(Outcome outcome);
    void countRefusal(RefusalReason reason);

    MetricsRegistry& registry;
    Counter& modelRequests;
    Counter& calls;
    Counter& cancelled;
    /// Whole answers whose first token and 95 in 100 of whose gaps were within the targets.
    Counter& withinTargets;
    Counter& tokens;
    Counter& malformedRequests;
    Counter& unauthorizedRequests;
    Distribution& firstToken;
    Distribution& interToken;
};

} // namespace peridotgrade
