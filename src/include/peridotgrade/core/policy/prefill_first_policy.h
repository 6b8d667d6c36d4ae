// The baseline placement policy: the prefill first, a place sought when it is done.
#pragma once

#include "peridotgrade/core/policy/two_choice_policy.h"

namespace peridotgrade {

/// Chooses engines like TwoChoicePolicy, but holds no place while the prefill runs. For comparison.
class PrefillFirstPolicy : public TwoChoicePolicy {
public:
    static constexpr bool AsksPlaceFirst = false;
};

} // namespace peridotgrade
