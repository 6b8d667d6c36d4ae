// Computes when a snapshot is due from the append time of the oldest record that a new reader needs.
#include "peridotgrade/core/config/snapshot_policy.h"

#include <utility>

namespace peridotgrade {

SnapshotPolicy::SnapshotPolicy(std::chrono::milliseconds retention, RandomSource random)
    : retention(retention)
    , random(std::move(random))
{
    this->drawJitter();
}

void SnapshotPolicy::drawJitter()
{
    auto quarter = static_cast<std::uint64_t>(this->retention.count() / 4);
    this->jitter = std::chrono::milliseconds { static_cast<std::int64_t>(this->random.below(quarter + 1)) };
}

bool SnapshotPolicy::isDue(const ConfigurationReplica& replica, LogOffset logOldest, WallTime now)
{
    if (replica.hasGap() || !replica.isReady() || replica.version() == ConfigVersion {})
        return false;
    auto coverage = replica.snapshotCoverage();
    auto first = replica.firstRecordAt();
    bool isUncovered = !coverage && (logOldest > LogOffset {} || !first);
    if (isUncovered)
        return true;
    // Without a snapshot a new reader needs the log from its very first record.
    WallTime neededFrom = coverage ? *coverage : *first;
    if (this->jitterDrawnFor != neededFrom) {
        this->jitterDrawnFor = neededFrom;
        this->drawJitter();
    }
    return now - neededFrom >= this->retention / 4 + this->jitter;
}

} // namespace peridotgrade
