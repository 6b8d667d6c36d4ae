// A request of a randomised run, and what its caller was told.
#pragma once

#include "peridotgrade/core/actions/action_router.h"

#include <optional>

namespace peridotgrade::testing {

/// One request of a caller at one entry.
struct Submission {
    RequestId id;
    IdempotencyKey key;
    /// The run of the entry that took it.
    std::string entryIncarnation;
    TimePoint submittedAt;
    TimePoint deadline;
    std::optional<TimePoint> endedAt;
    Outcome outcome = Outcome::Unknown;
    RefusalReason reason = RefusalReason::NoCapacity;
    std::string answer;
    /// The caller went away or its entry died: it is told nothing.
    bool isDisconnected = false;
};

} // namespace peridotgrade::testing
