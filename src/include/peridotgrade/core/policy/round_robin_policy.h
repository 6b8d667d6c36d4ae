// Baseline: prefill first, engines in turn.
#pragma once

#include "peridotgrade/core/policy/placement.h"

namespace peridotgrade {

/// Takes the engines in turn, whatever their load. A baseline that others are measured against.
class RoundRobinPolicy {
public:
    static constexpr bool AsksPlaceFirst = false;

    std::vector<std::size_t> chooseDecodeEngines(const PlacementRequest&,
        const std::vector<EngineView>& engines, TimePoint, RandomSource&, std::uint32_t)
    {
        if (engines.empty())
            return {};
        return { this->nextDecode++ % engines.size() };
    }

    std::optional<std::size_t> choosePrefillEngine(
        const PlacementRequest&, const std::vector<EngineView>& engines, TimePoint, RandomSource&)
    {
        if (engines.empty())
            return std::nullopt;
        return this->nextPrefill++ % engines.size();
    }

private:
    std::size_t nextDecode = 0;
    std::size_t nextPrefill = 0;
};

} // namespace peridotgrade
