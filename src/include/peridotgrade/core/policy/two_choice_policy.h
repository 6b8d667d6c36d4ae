// The default placement policy: parallel requests to a few random decode agents, earliest expected prefill
// end.
#pragma once

#include "peridotgrade/core/policy/placement.h"

namespace peridotgrade {

/// Draws `count` decode engines at random from all data centres and lets their agents decide which of them
/// can grant a reservation. A prefill goes to the engine where it is expected to end first.
class TwoChoicePolicy {
public:
    static constexpr bool ReservesBeforePrefill = true;

    std::vector<std::size_t> chooseDecodeEngines(const PlacementRequest& request,
        const std::vector<EngineView>& engines, TimePoint now, RandomSource& random, std::uint32_t count);
    std::optional<std::size_t> choosePrefillEngine(const PlacementRequest& request,
        const std::vector<EngineView>& engines, TimePoint now, RandomSource& random);
};

} // namespace peridotgrade
