// Baseline policy: prefill first, on the engine with the least reported load.
#pragma once

#include "peridotgrade/core/policy/reported_load.h"

namespace peridotgrade {

/// Chooses the engine that reported the least load. Reports lag, so many requests go to the same engine until
/// its next report. A baseline for comparisons.
class LeastReportedPolicy {
public:
    static constexpr bool ReservesBeforePrefill = false;

    std::vector<std::size_t> chooseDecodeEngines(const PlacementRequest&,
        const std::vector<EngineView>& engines, TimePoint, RandomSource& random, std::uint32_t)
    {
        auto best = bestOf(engines, random, hasMoreReportedFreeSlots);
        return best ? std::vector<std::size_t> { *best } : std::vector<std::size_t> {};
    }

    std::optional<std::size_t> choosePrefillEngine(
        const PlacementRequest&, const std::vector<EngineView>& engines, TimePoint, RandomSource& random)
    {
        return bestOf(engines, random, hasLessReportedBacklog);
    }
};

} // namespace peridotgrade
