// Grouping of backend servers into pools, and subsetting of each pool.
#include "candidates.h"

#include <map>
#include <set>
#include <utility>

namespace peridotgrade {

namespace {

    /// Backend servers that are interchangeable: one model and role, or one application service.
    struct Pool {
        ModelId model;
        EngineRole role = EngineRole::Mixed;
        ServiceId service;
        std::vector<VmRecord> members;
    };

    using PoolKey = std::string;

    PoolKey keyOf(const EngineAssignment& assignment)
    {
        return "model/" + assignment.model.raw() + "/" + std::string { nameOf(assignment.role) };
    }

    /// Built from the connection targets, not from the usable servers: otherwise the subset would change with
    /// each lost connection.
    std::map<PoolKey, Pool> enginePools(
        const SiteConfiguration& configuration, const std::vector<VmRecord>& connectionTargets)
    {
        std::map<PoolKey, Pool> pools;
        for (const VmRecord& vm : connectionTargets) {
            auto assigned = configuration.engines.find(AgentId { vm.name });
            if (vm.kind != VmKind::Engine || assigned == configuration.engines.end())
                continue;
            const EngineAssignment& assignment = assigned->second;
            Pool& pool = pools[keyOf(assignment)];
            pool.model = assignment.model;
            pool.role = assignment.role;
            pool.members.push_back(vm);
        }
        return pools;
    }

    std::map<PoolKey, Pool> applicationPools(const std::vector<VmRecord>& connectionTargets)
    {
        std::map<PoolKey, Pool> pools;
        for (const VmRecord& vm : connectionTargets) {
            if (vm.kind != VmKind::Application)
                continue;
            Pool& pool = pools["application/" + vm.service.raw()];
            pool.service = vm.service;
            pool.members.push_back(vm);
        }
        return pools;
    }

    void selectSubsets(std::map<PoolKey, Pool>& pools, const CandidateSelector& selector)
    {
        for (auto& [key, pool] : pools)
            pool.members = stableSubset(
                pool.members, selector.entry.raw(), key, selector.dataCentre, selector.subsetSize);
    }

} // namespace

std::vector<VmRecord> agentsToConnect(
    const CandidateSelector& selector, const SiteConfiguration& configuration, const Membership& membership)
{
    std::vector<VmRecord> connectionTargets = membership.connectionTargets();
    auto pools = enginePools(configuration, connectionTargets);
    pools.merge(applicationPools(connectionTargets));
    selectSubsets(pools, selector);
    std::vector<VmRecord> result;
    for (const auto& [key, pool] : pools)
        result.insert(result.end(), pool.members.begin(), pool.members.end());
    return result;
}

RoutingView routingView(const CandidateSelector& selector, const SiteConfiguration& configuration,
    ConfigVersion version, const Membership& membership)
{
    auto pools = enginePools(configuration, membership.connectionTargets());
    selectSubsets(pools, selector);
    RoutingView view;
    view.version = version;
    for (const auto& [key, pool] : pools) {
        for (const VmRecord& vm : pool.members) {
            AgentId agent { vm.name };
            if (membership.isUsable(agent))
                view.engines.push_back(EngineCandidate { agent, vm.dataCentre, pool.model, pool.role });
        }
    }
    return view;
}

std::vector<CallCandidate> callCandidates(const CandidateSelector& selector, const Membership& membership)
{
    auto pools = applicationPools(membership.connectionTargets());
    selectSubsets(pools, selector);
    std::vector<CallCandidate> candidates;
    for (const auto& [key, pool] : pools) {
        for (const VmRecord& vm : pool.members) {
            AgentId agent { vm.name };
            if (membership.isUsable(agent))
                candidates.push_back(CallCandidate { agent, pool.service, vm.dataCentre });
        }
    }
    return candidates;
}

} // namespace peridotgrade
