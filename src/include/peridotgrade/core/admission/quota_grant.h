// Answer of the holder of a tenant's account.
#pragma once

#include "peridotgrade/core/serving/tenant.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace peridotgrade {

struct QuotaGrant {
    std::uint64_t requestId = 0;
    TenantId tenant;
    /// Invariant: not negative.
    double tokens = 0;
    /// If less was granted than needed: when as much will be there, if nobody else asks.
    std::chrono::milliseconds retryAfter { 0 };
    /// False if the member that answers does not hold the account; then nothing is granted.
    bool isHolder = false;
    /// The holder, if the member that answers is not and knows it; else empty.
    std::string holder;
};

} // namespace peridotgrade
