// Message to another entry: the times that the sender has measured.
#pragma once

#include "peridotgrade/core/serving/pace_evidence.h"

#include <vector>

namespace peridotgrade {

struct PaceDigest {
    /// Invariant: the sender's own evidence only, so that nothing is counted twice.
    std::vector<PaceEvidence> entries;
};

} // namespace peridotgrade
