// What any of an entry's state machines tells its surroundings: this request is given up.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/outcome.h"

namespace peridotgrade {

/// Final answer at once; the request is forgotten. Where a part of the answer was already delivered, or an
/// action may have run, the outcome is `Unknown`.
struct RefuseRequest {
    RequestId request;
    Refusal refusal;
};

} // namespace peridotgrade
