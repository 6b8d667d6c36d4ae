// A request of a randomised simulation and its outcome.
#pragma once

#include "peridotgrade/core/actions/action_router.h"

#include <optional>

namespace peridotgrade::testing {

/// One request of a caller at one entry.
struct Submission {
    RequestId id;
    IdempotencyKey key;
    /// The incarnation of the entry that accepted it.
    std::string entryIncarnation;
    TimePoint submittedAt;
    TimePoint deadline;
    std::optional<TimePoint> endedAt;
    Outcome outcome = Outcome::Unknown;
    RefusalReason reason = RefusalReason::NoCapacity;
    std::string answer;
    /// The caller disconnected or its entry was killed, so it gets no outcome.
    bool isDisconnected = false;
};

} // namespace peridotgrade::testing
