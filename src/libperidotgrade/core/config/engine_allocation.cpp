// Assigns surplus engines of the model first, then those that the VM list gives for its service, then others.
#include "engine_allocation.h"

#include <algorithm>
#include <array>

namespace peridotgrade {

namespace {

    constexpr std::array Roles { EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed };

} // namespace

std::uint32_t wantedEngines(const ServeModel& wanted, EngineRole role)
{
    if (role == EngineRole::Prefill)
        return wanted.prefillEngines;
    if (role == EngineRole::Decode)
        return wanted.decodeEngines;
    return wanted.mixedEngines;
}

EngineAllocation::EngineAllocation(const SiteConfiguration& base, const PlanningView& view)
    : view(view)
    , assigned(base.engines)
{
}

std::vector<AgentId> EngineAllocation::enginesOf(const ServeModel& wanted, EngineRole role) const
{
    std::vector<AgentId> result;
    for (const auto& [agent, engine] : this->assigned) {
        if (engine.service == wanted.service && engine.model == wanted.model && engine.role == role)
            result.push_back(agent);
    }
    // Engines that already have the wanted version are kept first.
    std::stable_partition(result.begin(), result.end(),
        [&](const AgentId& agent) { return this->assigned.at(agent).modelVersion == wanted.modelVersion; });
    return result;
}

std::vector<AgentId> EngineAllocation::surplusOf(const ServeModel& wanted) const
{
    std::vector<AgentId> surplus;
    for (EngineRole role : Roles) {
        std::vector<AgentId> agents = this->enginesOf(wanted, role);
        std::size_t kept = std::min<std::size_t>(agents.size(), wantedEngines(wanted, role));
        surplus.insert(surplus.end(), agents.begin() + static_cast<std::ptrdiff_t>(kept), agents.end());
    }
    return surplus;
}

void EngineAllocation::stop(const ServiceId& service, const ModelId& model)
{
    std::erase_if(this->assigned,
        [&](const auto& each) { return each.second.service == service && each.second.model == model; });
}

void EngineAllocation::shrink(const ServeModel& wanted)
{
    std::size_t lacking = 0;
    for (EngineRole role : Roles) {
        std::size_t has = this->enginesOf(wanted, role).size();
        std::size_t wants = wantedEngines(wanted, role);
        lacking += wants > has ? wants - has : 0;
    }
    // A surplus engine of one role fills a gap in another: the weights are already loaded.
    std::vector<AgentId> surplus = this->surplusOf(wanted);
    for (std::size_t i = lacking; i < surplus.size(); ++i)
        this->assigned.erase(surplus[i]);
}

void EngineAllocation::assign(const AgentId& agent, const ServeModel& wanted, EngineRole role)
{
    EngineAssignment engine;
    engine.agent = agent;
    engine.service = wanted.service;
    engine.model = wanted.model;
    engine.modelVersion = wanted.modelVersion;
    engine.adapters = wanted.adapters;
    engine.role = role;
    engine.weightBytes = wanted.weightBytes;
    this->assigned[agent] = std::move(engine);
}

void EngineAllocation::grow(const ServeModel& wanted)
{
    std::vector<AgentId> spare = this->surplusOf(wanted);
    std::vector<AgentId> otherEngines;
    for (const FleetEngine& engine : this->view.fleet) {
        if (this->assigned.contains(engine.agent))
            continue;
        (engine.service == wanted.service ? spare : otherEngines).push_back(engine.agent);
    }
    spare.insert(spare.end(), otherEngines.begin(), otherEngines.end());
    std::size_t nextSpare = 0;
    for (EngineRole role : Roles) {
        std::vector<AgentId> agents = this->enginesOf(wanted, role);
        std::size_t wants = wantedEngines(wanted, role);
        agents.resize(std::min(agents.size(), wants));
        while (agents.size() < wants && nextSpare < spare.size())
            agents.push_back(spare[nextSpare++]);
        for (const AgentId& agent : agents)
            this->assign(agent, wanted, role);
        if (agents.size() < wants)
            this->shortages.push_back("model " + wanted.model.raw() + " of service " + wanted.service.raw()
                + " gets " + std::to_string(agents.size()) + " of " + std::to_string(wants) + " "
                + std::string { nameOf(role) } + " engines: no more are free");
    }
}

} // namespace peridotgrade
