// A plan: what confirming it would change, in which order, at which cost.
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
    /// Steps of one wave run at the same time.
    std::uint32_t wave = 0;
    /// After the confirmation.
    std::chrono::milliseconds startAfter { 0 };
    /// What the weight store needs for it; 0 if nothing is loaded or the size is not known.
    std::chrono::milliseconds loadTime { 0 };
    std::string reason;
};

/// What a service can do.
struct ServiceCapacity {
    std::uint64_t decodePlaces = 0;
    double prefillTokensPerSecond = 0;
};

struct ServiceForecast {
    ServiceId service;
    ServiceCapacity before;
    /// The least while the plan is carried out.
    ServiceCapacity during;
    ServiceCapacity after;
    std::uint32_t enginesAfter = 0;
    /// Engines that its share of the commitment pays for.
    std::uint32_t committedEngines = 0;
};

/// The answer to a set of intents. Pure data: making one changes nothing.
struct Plan {
    PlanId id;
    ConfigVersion base;
    std::vector<ConfigurationChange> changes;
    std::string summary;
    std::vector<PlanStep> steps;
    std::vector<ServiceForecast> services;
    /// From the confirmation until the last step has begun and its load is done.
    std::chrono::milliseconds expectedDuration { 0 };
    /// Committed spend that stays unused in a period, in the currency's smallest unit.
    std::uint64_t unusedSpendMinorUnits = 0;
    /// What cannot be met, in words.
    std::vector<std::string> refusals;
};

/// The id that binds base version, changes and summary.
PlanId planIdOf(
    ConfigVersion base, const std::vector<ConfigurationChange>& changes, const std::string& summary);

boost::json::value toJson(const Plan& plan);

/// The parts of a plan's JSON that a confirmation needs: id, base, changes, summary. An error if the id does
/// not bind the rest.
std::variant<Plan, ConfigError> confirmablePlanFrom(const boost::json::value& value);

/// The plan as a text for people.
std::string describe(const Plan& plan);

} // namespace peridotgrade
