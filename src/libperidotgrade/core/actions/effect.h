// An effect that a randomised simulation records at an application server.
#pragma once

#include "peridotgrade/core/actions/action_router.h"

namespace peridotgrade::testing {

/// One execution of an action by an application server.
struct Effect {
    IdempotencyKey key;
    /// The request whose StartAction caused the execution.
    RequestId origin;
    /// Time at which that StartAction was sent.
    TimePoint startedAt;
    std::string answer;
};

} // namespace peridotgrade::testing
