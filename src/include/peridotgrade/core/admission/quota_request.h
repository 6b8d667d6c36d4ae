// Question of an entry to the holder of a tenant's account.
#pragma once

#include "peridotgrade/core/serving/tenant.h"

#include <cstdint>
#include <string>

namespace peridotgrade {

/// A repeated request is the same in all fields and gets the same answer, so that a lost or duplicated
/// datagram changes nothing. Invariant: no number is negative.
struct QuotaRequest {
    /// Increases for each member.
    std::uint64_t requestId = 0;
    std::string member;
    std::uint64_t configVersion = 0;
    TenantId tenant;
    /// What the entry asks for. With 0 it only returns or reports, and has no traffic of the tenant now.
    double tokens = 0;
    /// The part of `tokens` without which the first waiting request cannot be served.
    double needed = 0;
    /// The part of `tokens` that all waiting requests need; the rest is for the next ones.
    double waiting = 0;
    /// Unused tokens of former grants.
    double returned = 0;
    /// A level: what the entry used within the time that fills the bucket, and what it holds.
    double recentlyUsed = 0;
};

} // namespace peridotgrade
