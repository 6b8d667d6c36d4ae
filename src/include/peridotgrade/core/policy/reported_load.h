// Comparison of engines by their last reported load.
#pragma once

#include "peridotgrade/core/policy/placement.h"

namespace peridotgrade {

/// True if `a` reported more free batch slots than `b`.
inline bool hasMoreReportedFreeSlots(const EngineView& a, const EngineView& b)
{
    return a.load.placesFree > b.load.placesFree;
}

/// True if `a` reported a shorter prefill backlog than `b`.
inline bool hasLessReportedBacklog(const EngineView& a, const EngineView& b)
{
    return a.load.prefillBacklog < b.load.prefillBacklog;
}

/// Index of the best of `engines` under `isBetter`. Ties are broken at random, so that entries do not herd.
template <typename IsBetter>
std::optional<std::size_t> bestOf(
    const std::vector<EngineView>& engines, RandomSource& random, IsBetter isBetter)
{
    if (engines.empty())
        return std::nullopt;
    std::size_t offset = random.below(engines.size());
    std::size_t best = offset;
    for (std::size_t step = 1; step < engines.size(); ++step) {
        std::size_t index = (offset + step) % engines.size();
        if (isBetter(engines[index], engines[best]))
            best = index;
    }
    return best;
}

/// Index of the better of two random engines under `isBetter`.
template <typename IsBetter>
std::optional<std::size_t> betterOfTwo(
    const std::vector<EngineView>& engines, RandomSource& random, IsBetter isBetter)
{
    if (engines.empty())
        return std::nullopt;
    std::size_t first = random.below(engines.size());
    std::size_t second = random.below(engines.size());
    return isBetter(engines[second], engines[first]) ? second : first;
}

} // namespace peridotgrade
