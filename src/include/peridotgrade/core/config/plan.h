// A plan: what its confirmation would change, in which order and at what cost.
#pragma once

#include "peridotgrade/core/config/config_error.h"
#include "peridotgrade/core/config/configuration_record.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

enum class StepKind : std::uint8_t { Load, ChangeRole, Release };

std::string_view nameOf(StepKind kind);

/// One engine's part in a plan.
struct PlanStep {
    AgentId agent;
    StepKind kind = StepKind::Load;
    /// Steps of the same wave run at the same time.
    std::uint32_t wave = 0;
    /// Delay after the confirmation.
    std::chrono::milliseconds startAfter { 0 };
    /// Time that the weight store needs for the load; 0 if nothing is loaded or the size is unknown.
    std::chrono::milliseconds loadTime { 0 };
    std::string reason;
};

/// Sum of the capacities of a service's engines.
struct ServiceCapacity {
    /// Maximum number of concurrent reservations at decode and mixed engines.
    std::uint64_t decodePlaces = 0;
    /// Of prefill and mixed engines.
    double prefillTokensPerSecond = 0;
};

struct ServiceForecast {
    ServiceId service;
    ServiceCapacity before;
    /// Minimum while the plan is carried out.
    ServiceCapacity during;
    ServiceCapacity after;
    std::uint32_t enginesAfter = 0;
    /// Engines that the service's share of the commitment pays for.
    std::uint32_t committedEngines = 0;
};

/// The planner's result for a set of intents. Making a plan changes nothing.
struct Plan {
    PlanId id;
    ConfigVersion base;
    std::vector<ConfigurationChange> changes;
    std::string summary;
    std::vector<PlanStep> steps;
    std::vector<ServiceForecast> services;
    /// From the confirmation until the time allowed for the last wave has passed.
    std::chrono::milliseconds expectedDuration { 0 };
    /// Committed spend that stays unused per period, in the currency's smallest unit.
    std::uint64_t unusedSpendMinorUnits = 0;
    /// Requirements that cannot be met, as messages for the operator.
    std::vector<std::string> refusals;
};

/// The id of a plan: a hash of base version, changes and summary.
PlanId planIdOf(
    ConfigVersion base, const std::vector<ConfigurationChange>& changes, const std::string& summary);

boost::json::value toJson(const Plan& plan);

/// Decodes the parts of a plan that a confirmation needs: id, base, changes and summary. Returns an error if
/// the id is not the hash of the rest.
std::variant<Plan, ConfigError> confirmablePlanFrom(const boost::json::value& value);

/// The plan as human-readable text.
std::string describe(const Plan& plan);

} // namespace peridotgrade
