// What the services of an entry share.
#pragma once

#include "peridotgrade/entry/entry_shard.h"
#include "peridotgrade/ops/logger.h"
#include "peridotgrade/ops/metrics.h"
#include "peridotgrade/ops/settings/entry_settings.h"
#include "peridotgrade/ops/timeline.h"
#include "peridotgrade/services/configuration_follower.h"

#include <atomic>
#include <memory>
#include <vector>

namespace peridotgrade {

/// Lives as long as the process. Members are thread safe by themselves.
struct EntryContext {
    const EntrySettings& settings;
    Logger& logger;
    MetricsRegistry& metrics;
    Timeline& timeline;
    ConfigurationFollower& follower;
    /// Filled before any service runs, never changed after.
    std::vector<std::unique_ptr<EntryShard>> shards;
    std::atomic<bool> hasVmList = false;
    std::atomic<bool> isStopping = false;

    /// True if callers' requests can be served.
    bool isReady() const { return !this->isStopping && this->hasVmList && this->follower.current()->isReady; }
};

} // namespace peridotgrade
