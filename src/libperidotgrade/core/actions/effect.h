// An effect of a randomised run at an application server.
#pragma once

#include "peridotgrade/core/actions/action_router.h"

namespace peridotgrade::testing {

/// One effect at an application server.
struct Effect {
    IdempotencyKey key;
    /// The request in whose name the action was started.
    RequestId origin;
    TimePoint startedAt;
    std::string answer;
};

} // namespace peridotgrade::testing
