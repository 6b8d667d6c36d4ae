// Choice of the next engine that changes its role.
#include "peridotgrade/core/serving/role_plan.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace peridotgrade {

namespace {

    using Engines = std::vector<const ServerRecord*>;

    /// An engine with that role, from the data centre that has the most of them.
    const ServerRecord* engineOfLargestGroup(const Engines& engines, ServerRole role)
    {
        std::map<DataCentreId, std::size_t> counts;
        for (const ServerRecord* engine : engines)
            counts[engine->dataCentre] += engine->role == role ? 1 : 0;
        const ServerRecord* best = nullptr;
        for (const ServerRecord* engine : engines) {
            if (engine->role != role)
                continue;
            if (best == nullptr || counts[engine->dataCentre] > counts[best->dataCentre])
                best = engine;
        }
        return best;
    }

} // namespace

std::uint32_t RolePlan::prefillTarget(std::size_t engines) const
{
    if (engines <= MinPrefillEngines)
        return static_cast<std::uint32_t>(engines / 2);
    auto share = static_cast<std::uint32_t>(std::lround(this->prefillShare * static_cast<double>(engines)));
    return std::max(MinPrefillEngines, share);
}

std::optional<RoleAssignment> RolePlan::nextAssignment(const Engines& engines) const
{
    auto prefill = static_cast<std::uint32_t>(std::count_if(engines.begin(), engines.end(),
        [](const ServerRecord* engine) { return engine->role == ServerRole::Prefill; }));
    std::uint32_t target = this->prefillTarget(engines.size());
    if (prefill == target)
        return std::nullopt;
    bool isTooMany = prefill > target;
    const ServerRecord* engine
        = engineOfLargestGroup(engines, isTooMany ? ServerRole::Prefill : ServerRole::Decode);
    if (engine == nullptr)
        return std::nullopt;
    return RoleAssignment { engine->id, isTooMany ? ServerRole::Decode : ServerRole::Prefill };
}

} // namespace peridotgrade
