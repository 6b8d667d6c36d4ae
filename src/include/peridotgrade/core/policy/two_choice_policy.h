// The default placement policy: live answers of a few decode agents, the prefill that ends first.
#pragma once

#include "peridotgrade/core/policy/placement.h"

namespace peridotgrade {

/// Asks `count` decode engines, the entry's own data centre first, drawn at random; which of them has a place
/// is for the agents to say. Prefills go where they are expected to end first, as far as is known.
class TwoChoicePolicy {
public:
    static constexpr bool AsksPlaceFirst = true;

    std::vector<std::size_t> chooseDecodeEngines(const PlacementRequest& request,
        const std::vector<EngineView>& engines, TimePoint now, RandomSource& random, std::uint32_t count);
    std::optional<std::size_t> choosePrefillEngine(const PlacementRequest& request,
        const std::vector<EngineView>& engines, TimePoint now, RandomSource& random);
};

} // namespace peridotgrade
