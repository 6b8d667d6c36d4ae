// Turns intents into a plan.
#pragma once

#include "peridotgrade/core/config/config_error.h"
#include "peridotgrade/core/config/intent.h"
#include "peridotgrade/core/config/plan.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace peridotgrade {

/// An engine that exists, with its measured abilities.
struct FleetEngine {
    AgentId agent;
    /// The service that the VM list names for it.
    ServiceId service;
    std::uint32_t placesTotal = 20;
    double prefillTokensPerSecond = 10'000;
};

/// Measured load of a service.
struct ServiceLoad {
    ServiceId service;
    double placesInUse = 0;
};

/// What a plan depends on besides the configuration.
struct PlanningView {
    std::vector<FleetEngine> fleet;
    std::vector<ServiceLoad> loads;
    double weightStoreBytesPerSecond = 0;
};

/// A pure function: the same input gives the same plan, with the same id. Gives every problem of the intents
/// instead if there is one.
std::variant<Plan, std::vector<ConfigError>> makePlan(const SiteConfiguration& base, ConfigVersion version,
    const std::vector<Intent>& intents, const PlanningView& view);

} // namespace peridotgrade
