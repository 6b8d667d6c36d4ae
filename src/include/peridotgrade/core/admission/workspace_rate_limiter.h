// Limits the request and token rates of workspaces.
#pragma once

#include "peridotgrade/core/admission/token_bucket.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/config/site_configuration.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace peridotgrade {

/// Token buckets with one entry's part of each workspace's limits: the rates of the site are divided evenly
/// among its entries, without messages between them. One request, however large, may overdraw a bucket, and
/// the workspace is refused until the bucket is positive again, so that a rate below the size of one request
/// still serves requests. Not thread safe.
class WorkspaceRateLimiter {
public:
    /// Sets how many entries share the rates of the site; at least one.
    void setEntryCount(std::size_t count);

    /// Charges one request with this many output tokens. If the workspace is over a limit, nothing is charged
    /// and the time until it is served again is returned.
    std::optional<std::chrono::milliseconds> admit(
        const Workspace& workspace, std::uint32_t outputTokens, TimePoint now);

    /// Refunds the charge for tokens that were not generated.
    void refund(const Workspace& workspace, std::uint32_t outputTokens);

private:
    struct Buckets {
        TokenBucket requests;
        TokenBucket tokens;
    };

    /// This entry's part of a rate of the site.
    TokenRate entryShareOf(double rate) const;

    /// Invariant: at least 1.
    std::size_t entries = 1;
    /// Invariant: no bucket that was just refilled exceeds its rate times the burst time. Bounded by the
    /// configuration's workspaces, including former ones.
    std::unordered_map<WorkspaceId, Buckets> buckets;
};

} // namespace peridotgrade
