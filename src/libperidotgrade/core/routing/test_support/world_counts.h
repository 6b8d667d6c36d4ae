// Sums over all engines of a simulation.
#pragma once

#include "world.h"

namespace peridotgrade::test {

inline std::size_t heldAtEngines(const World& world)
{
    std::size_t sum = 0;
    for (const auto& engine : world.engines)
        sum += engine->held();
    return sum;
}

inline std::uint64_t poisonCrashes(const World& world)
{
    std::uint64_t sum = 0;
    for (const auto& engine : world.engines)
        sum += engine->poisonCrashes;
    return sum;
}

} // namespace peridotgrade::test
