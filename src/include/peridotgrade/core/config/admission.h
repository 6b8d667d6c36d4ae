// Which workspace's requests an entry shard lets in: rate limits, shares, priorities.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/outcome.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/config/site_configuration.h"
#include "peridotgrade/core/config/token_bucket.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace peridotgrade {

/// A request that was let in; to be handed back once by `finished`.
struct AdmissionTicket {
    WorkspaceId workspace;
    /// The pool that the request competes in: a model or an application service.
    std::string pool;
};

/// How an admitted request ended.
struct AdmissionResult {
    std::uint32_t outputTokens = 0;
    /// True if the backend servers had no capacity for it.
    bool isRefusedForCapacity = false;
};

/// Divides what there is without a word between entries. Limits: each shard takes an equal part of a
/// workspace's rates. Shares: each shard learns from refusals how many requests of a pool it can have in
/// flight, and when that is used up a workspace is sure of its share of it; what active workspaces leave
/// unused is lent, in order of priority, and comes back as the lent requests end. Not thread safe.
class Admission {
public:
    Admission() = default;

    /// The workspaces and the number of entry shards of the site, this one included.
    void configure(const SiteConfiguration& configuration, std::uint32_t entryShards, TimePoint now);

    std::variant<AdmissionTicket, Refusal> admit(
        const WorkspaceId& workspace, const std::string& pool, TimePoint now);
    void finished(const AdmissionTicket& ticket, const AdmissionResult& result, TimePoint now);

    /// Requests that this shard believes it can have in flight; nothing while no refusal has been met.
    std::optional<double> learnedLimit(const std::string& pool) const;

private:
    struct Limits {
        Workspace workspace;
        std::optional<TokenBucket> requests;
        std::optional<TokenBucket> outputTokens;
    };

    struct Usage {
        std::uint32_t inFlight = 0;
        TimePoint lastAsked;
    };

    struct Pool {
        /// Unset until the first refusal for capacity. Invariant: at least 1.
        std::optional<double> limit;
        /// Invariant: the sum of all `inFlight` in `usage`.
        std::uint32_t inFlight = 0;
        std::map<WorkspaceId, Usage> usage;
        TimePoint lastDecrease;
        TimePoint lastFinished;
        Duration timeBetweenEnds { 0 };
    };

    std::optional<Refusal> rateRefusal(Limits& limits, TimePoint now);
    bool hasRoom(const Pool& pool, const Limits& limits, TimePoint now) const;
    /// Places of active workspaces other than `except` that they do not use now but are sure of.
    double reservedPlaces(const Pool& pool, const WorkspaceId& except, TimePoint now) const;
    double sureShare(const Pool& pool, const WorkspaceId& workspace, TimePoint now) const;
    void learn(Pool& pool, const AdmissionResult& result, TimePoint now);

    std::map<WorkspaceId, Limits> workspaces;
    std::map<std::string, Pool> pools;
};

} // namespace peridotgrade
