// Baseline policy: prefill first, on the better of two random engines by reported load.
#pragma once

#include "peridotgrade/core/policy/reported_load.h"

namespace peridotgrade {

/// Draws two engines and chooses the one that reported less load. A baseline for comparisons.
class ReportedTwoChoicesPolicy {
public:
    static constexpr bool ReservesBeforePrefill = false;

    std::vector<std::size_t> chooseDecodeEngines(const PlacementRequest&,
        const std::vector<EngineView>& engines, TimePoint, RandomSource& random, std::uint32_t)
    {
        auto better = betterOfTwo(engines, random, hasMoreReportedFreeSlots);
        return better ? std::vector<std::size_t> { *better } : std::vector<std::size_t> {};
    }

    std::optional<std::size_t> choosePrefillEngine(
        const PlacementRequest&, const std::vector<EngineView>& engines, TimePoint, RandomSource& random)
    {
        return betterOfTwo(engines, random, hasLessReportedBacklog);
    }
};

} // namespace peridotgrade
