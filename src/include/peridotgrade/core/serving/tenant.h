// A customer of the operator that shares the services with others, and its limits.
#pragma once

#include "peridotgrade/core/base/strong_id.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotgrade {

/// Name of a tenant, as servers get it. Not a secret.
using TenantId = StrongId<struct TenantIdTag, std::string>;

/// What a quota counts.
enum class QuotaUnit : std::uint8_t {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens and its maximum of output tokens.
    Tokens,
};

/// A limit on what a tenant may use at all entries together.
struct TenantQuota {
    QuotaUnit unit = QuotaUnit::Requests;
    /// Invariant: above 0; a tenant without a limit has no quota.
    double perSecond = 0;
    /// What an idle tenant may use at once.
    double burst = 0;
    /// With `QuotaUnit::Tokens`: what a request counts that states no token counts.
    std::uint32_t plainTokens = 0;

    friend bool operator==(const TenantQuota&, const TenantQuota&) = default;
};

/// A tenant as the operator configured it.
struct Tenant {
    TenantId name;
    /// Secrets: never logged.
    std::vector<std::string> keys;
    /// Goes before the priority of the route; 0 is the highest. Nothing if the route's decides.
    std::optional<std::uint32_t> priority;
    std::optional<TenantQuota> quota;

    friend bool operator==(const Tenant&, const Tenant&) = default;
};

} // namespace peridotgrade
