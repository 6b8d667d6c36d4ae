// A confirmation of this entry's membership, as far as quotas need it.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_limits.h"

#include <cstdint>

namespace peridotgrade {

struct QuotaMembership {
    HeldPartitions held;
    /// Era and generation of the group in one number.
    std::uint64_t generation = 0;
    /// On a clock that advances while the machine is suspended.
    TimePoint confirmedAt {};
};

} // namespace peridotgrade
