// The times at which answers of one server have ended.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <vector>

namespace peridotgrade {

/// Tells answers that ended independently from those that a server may have ended itself in order to stop: a
/// server that stops ends all its answers, one soon after the other. Not thread safe.
class AnswerEnds {
public:
    /// Times must not decrease. Those of more than some seconds ago are forgotten.
    void add(TimePoint endedAt);
    /// The answer that ended then is one of several that ended soon after each other, and none has ended
    /// later. `endedAt` must have been added within the last seconds.
    bool isInLastSuccession(TimePoint endedAt) const;

private:
    /// Invariant: in order of time.
    std::vector<TimePoint> ends;
};

} // namespace peridotgrade
