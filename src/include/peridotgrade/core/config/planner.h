// Makes plans from intents.
#pragma once

#include "peridotgrade/core/config/config_error.h"
#include "peridotgrade/core/config/intent.h"
#include "peridotgrade/core/config/plan.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace peridotgrade {

/// An existing engine and its capacity; the defaults apply where no measurement is given.
struct FleetEngine {
    AgentId agent;
    /// The service that the VM list gives for the engine.
    ServiceId service;
    /// Batch slots of the engine: the maximum number of concurrent reservations.
    std::uint32_t placesTotal = 20;
    double prefillTokensPerSecond = 10'000;
};

/// Measured load of a service.
struct ServiceLoad {
    ServiceId service;
    double reservationsInUse = 0;
};

/// Input of the planner besides the configuration.
struct PlanningView {
    std::vector<FleetEngine> fleet;
    std::vector<ServiceLoad> loads;
    /// Read throughput of the weight store. 0 if unknown; the plan then predicts no load times.
    double weightStoreBytesPerSecond = 0;
};

/// A pure function: the same input gives the same plan with the same id. Returns all problems of the intents
/// instead if there are any.
std::variant<Plan, std::vector<ConfigError>> makePlan(const SiteConfiguration& base, ConfigVersion version,
    const std::vector<Intent>& intents, const PlanningView& view);

} // namespace peridotgrade
