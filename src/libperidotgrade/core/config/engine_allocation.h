// Chooses engines for the models of a plan.
#pragma once

#include "peridotgrade/core/config/intent.h"
#include "peridotgrade/core/config/planner.h"

#include <map>
#include <string>
#include <vector>

namespace peridotgrade {

/// Moves the base assignments towards what is wanted, changing as few engines as it can. Deterministic: all
/// choices go by name.
class EngineAllocation {
public:
    EngineAllocation(const SiteConfiguration& base, const PlanningView& view);

    /// Frees all engines of the model.
    void stop(const ServiceId& service, const ModelId& model);
    /// Frees engines that the model has too many of. To be called for all models before any `grow`.
    void shrink(const ServeModel& wanted);
    /// Gives the model what it lacks and the wanted version, as far as engines are free.
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

/// Engines that the intent wants in a role.
std::uint32_t wantedIn(const ServeModel& wanted, EngineRole role);

} // namespace peridotgrade
