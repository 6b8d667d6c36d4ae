// Divides what a service can do among the workspaces that want it.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/outcome.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/config/site_configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace peridotgrade {

/// A request that was let in; to be handed back once by `finished`.
struct ShareTicket {
    WorkspaceId workspace;
    /// The pool that the request competes in: a model or an application service.
    std::string pool;
};

/// Learns from refusals how many requests of a pool one entry can have in flight, without a word between
/// entries. When that is used up, a workspace is sure of its share of it; what active workspaces leave unused
/// is lent, in order of priority, and comes back as the lent requests end. Not thread safe.
class WorkspaceShares {
public:
    std::variant<ShareTicket, Refusal> admit(
        const Workspace& workspace, const std::string& pool, TimePoint now);
    /// `isRefusedForCapacity` if the backend servers had no room for the request.
    void finished(const ShareTicket& ticket, bool isRefusedForCapacity, TimePoint now);

    /// Requests that this entry believes it can have in flight; nothing while no refusal has been met.
    std::optional<double> learnedLimit(const std::string& pool) const;

private:
    struct Usage {
        std::uint32_t inFlight = 0;
        double share = 1;
        TimePoint lastAsked;

        bool isAsking(TimePoint now) const;
    };

    struct Pool {
        /// Unset until the first refusal for capacity. Invariant: at least 1.
        std::optional<double> limit;
        /// Invariant: the sum of all `inFlight` in `usage`.
        std::uint32_t inFlight = 0;
        /// Bounded by the configuration's workspaces, past ones included.
        std::map<WorkspaceId, Usage> usage;
        TimePoint lastDecrease;
        TimePoint lastFinished;
        Duration timeBetweenEnds { 0 };
    };

    bool hasRoom(const Pool& pool, const Workspace& workspace, TimePoint now) const;
    /// Places of active workspaces other than `except` that they do not use now but are sure of.
    double reservedPlaces(const Pool& pool, const WorkspaceId& except, TimePoint now) const;
    double sureShare(const Pool& pool, const Usage& own, TimePoint now) const;
    void learn(Pool& pool, bool isRefusedForCapacity, TimePoint now);

    std::map<std::string, Pool> pools;
};

} // namespace peridotgrade
