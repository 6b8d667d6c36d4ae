// Baseline policy: prefill first, round robin over the engines.
#pragma once

#include "peridotgrade/core/policy/placement.h"

namespace peridotgrade {

/// Chooses the engines in turn, regardless of their load. A baseline for comparisons.
class RoundRobinPolicy {
public:
    static constexpr bool ReservesBeforePrefill = false;

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
