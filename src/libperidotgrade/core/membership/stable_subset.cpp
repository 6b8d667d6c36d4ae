// Selects a stable subset of agents by rendezvous hashing.
#include "peridotgrade/core/membership/membership.h"

#include <algorithm>
#include <xxhash.h>

namespace peridotgrade {

namespace {

    struct Ranked {
        const VmRecord* vm = nullptr;
        bool isInOtherDataCentre = false;
        std::uint64_t weight = 0;
    };

    /// The separator cannot occur in names, so that distinct arguments never give the same text.
    std::uint64_t weightOf(const std::string& chooser, const std::string& key, const std::string& agent)
    {
        constexpr char Separator = '\0';
        std::string text = chooser + Separator + key + Separator + agent;
        return XXH3_64bits(text.data(), text.size());
    }

    bool ranksBefore(const Ranked& left, const Ranked& right)
    {
        if (left.isInOtherDataCentre != right.isInOtherDataCentre)
            return right.isInOtherDataCentre;
        if (left.weight != right.weight)
            return left.weight > right.weight;
        return left.vm->name < right.vm->name;
    }

} // namespace

std::vector<VmRecord> stableSubset(const std::vector<VmRecord>& agents, const std::string& chooser,
    const std::string& key, const DataCentreId& dataCentre, std::size_t size)
{
    std::vector<Ranked> ranking;
    ranking.reserve(agents.size());
    for (const VmRecord& vm : agents)
        ranking.push_back({ &vm, vm.dataCentre != dataCentre, weightOf(chooser, key, vm.name) });
    auto count = std::min(size, ranking.size());
    auto end = ranking.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranking.begin(), end, ranking.end(), ranksBefore);

    std::vector<VmRecord> subset;
    subset.reserve(count);
    for (auto ranked = ranking.begin(); ranked != end; ++ranked)
        subset.push_back(*ranked->vm);
    return subset;
}

} // namespace peridotgrade
