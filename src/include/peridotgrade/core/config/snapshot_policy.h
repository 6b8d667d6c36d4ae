// When a node appends a snapshot of the configuration to the log.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/config/configuration_fold.h"

#include <chrono>
#include <optional>

namespace peridotgrade {

/// Decides that a snapshot is due, well before the log's retention takes the records that a new reader needs.
/// Nodes draw different moments within a window, so that mostly one of them appends it; two do no harm. Times
/// are those of the log's records and of the node's time of day, which may differ by much less than a quarter
/// of the retention.
class SnapshotPolicy {
public:
    SnapshotPolicy(std::chrono::milliseconds retention, RandomSource random);

    /// True if this node is to append `fold.snapshot()` now. A node with a gap in its records never does.
    bool isDue(const ConfigurationFold& fold, LogOffset logOldest, WallTime now);

private:
    void drawOffset();

    std::chrono::milliseconds retention;
    RandomSource random;
    /// Invariant: between 0 and a quarter of the retention.
    std::chrono::milliseconds offset { 0 };
    std::optional<WallTime> offsetDrawnFor;
};

} // namespace peridotgrade
