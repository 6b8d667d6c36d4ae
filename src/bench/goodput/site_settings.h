// Size, load and faults of one benchmark run.
#pragma once

#include "engine_model.h"
#include "workload.h"

#include "peridotgrade/core/routing/model_router.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace peridotgrade::bench {

/// The fault injected into a run.
enum class Fault : std::uint8_t { None, EngineCrash, DataCentreLoss, LoadReportsStop };

/// Settings of one run. The same settings give every policy the same requests.
struct SiteSettings {
    WorkloadSettings workload;
    std::uint32_t entries = 1;
    std::uint32_t prefillEngines = 6;
    std::uint32_t decodeEngines = 14;
    std::uint32_t dataCentres = 2;
    /// Offered load as a share of capacity.
    double load = 0.95;
    Duration length = std::chrono::seconds { 60 };
    /// Requests that arrive earlier are served but not counted.
    Duration warmUp = std::chrono::seconds { 15 };
    Duration firstTokenTarget = std::chrono::milliseconds { 820 };
    Duration interTokenTarget = std::chrono::milliseconds { 77 };
    Duration networkDelay = std::chrono::microseconds { 500 };
    Duration crossDataCentreDelay = std::chrono::milliseconds { 3 };
    Duration reportInterval = std::chrono::milliseconds { 500 };
    /// Share of refused callers that retry after Retry-After.
    double retryShare = 0.1;
    ModelRouterSettings router;
    EngineModelSettings engine;
    Fault fault = Fault::None;
    Duration faultAt = std::chrono::seconds { 30 };
    std::uint64_t seed = 1;
};

/// Capacity of the engines in requests per second, computed from the means of the workload.
struct SiteCapacity {
    double requestsPerSecond = 0;
    double infeasibleShare = 0;

    /// Share of the offered requests that a scheduler with complete information could serve within the
    /// targets.
    double idealShare(double load) const;
};

SiteCapacity capacityOf(const SiteSettings& settings);

} // namespace peridotgrade::bench
