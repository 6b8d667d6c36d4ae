// State shared by the services of an entry process.
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

/// Lives as long as the process. Each member is thread safe.
struct EntryContext {
    const EntrySettings& settings;
    Logger& logger;
    MetricsRegistry& metrics;
    Timeline& timeline;
    ConfigurationFollower& follower;
    /// Filled before any service runs and constant afterwards.
    std::vector<std::unique_ptr<EntryShard>> shards;
    std::atomic<bool> hasVmList = false;
    std::atomic<bool> isStopping = false;

    /// True if requests of callers can be served.
    bool isReady() const { return !this->isStopping && this->hasVmList && this->follower.current()->isReady; }
};

} // namespace peridotgrade
