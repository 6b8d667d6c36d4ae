// Action returned by the state machines of an entry: give up a request.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/outcome.h"

namespace peridotgrade {

/// The caller gets its final answer immediately, and the request is dropped. If a part of the answer was
/// already delivered, or an action may have run, the outcome is `Unknown`.
struct RefuseRequest {
    RequestId request;
    Refusal refusal;
};

} // namespace peridotgrade
