// Decides when a node appends a snapshot of the configuration to the log.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/config/configuration_replica.h"

#include <chrono>
#include <optional>

namespace peridotgrade {

/// A snapshot is due well before the log's retention drops the records that a new reader needs. Nodes draw
/// different moments within a window, so that usually only one of them appends a snapshot; duplicates are
/// harmless. Append times of records are compared with the node's wall clock; the two must differ by much
/// less than a quarter of the retention.
class SnapshotPolicy {
public:
    SnapshotPolicy(std::chrono::milliseconds retention, RandomSource random);

    /// True if this node is to append `replica.snapshot()` now. Never true while the replica has a gap, is
    /// not ready or has version 0.
    bool isDue(const ConfigurationReplica& replica, LogOffset logOldest, WallTime now);

private:
    void drawJitter();

    std::chrono::milliseconds retention;
    RandomSource random;
    /// Invariant: between 0 and a quarter of the retention.
    std::chrono::milliseconds jitter { 0 };
    std::optional<WallTime> jitterDrawnFor;
};

} // namespace peridotgrade
