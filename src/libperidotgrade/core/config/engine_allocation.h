// Assigns engines to the models of a plan.
#pragma once

#include "peridotgrade/core/config/intent.h"
#include "peridotgrade/core/config/planner.h"

#include <map>
#include <string>
#include <vector>

namespace peridotgrade {

/// Adapts the base assignments to the wanted models and keeps engines where they are as far as possible.
/// Deterministic: candidates are taken in the order of their names.
class EngineAllocation {
public:
    EngineAllocation(const SiteConfiguration& base, const PlanningView& view);

    /// Releases all engines of the model.
    void stop(const ServiceId& service, const ModelId& model);
    /// Releases the model's surplus engines. Must be called for all models before any `grow`.
    void shrink(const ServeModel& wanted);
    /// Assigns missing engines and the wanted version to the model, as far as engines are free.
    void grow(const ServeModel& wanted);

    const std::map<AgentId, EngineAssignment>& engines() const { return this->assigned; }
    const std::vector<std::string>& refusals() const { return this->shortages; }

private:
    std::vector<AgentId> enginesOf(const ServeModel& wanted, EngineRole role) const;
    std::vector<AgentId> surplusOf(const ServeModel& wanted) const;
    void assign(const AgentId& agent, const ServeModel& wanted, EngineRole role);

    const PlanningView& view;
    std::map<AgentId, EngineAssignment> assigned;
    std::vector<std::string> shortages;
};

/// Number of engines that the intent wants in a role.
std::uint32_t wantedEngines(const ServeModel& wanted, EngineRole role);

} // namespace peridotgrade
