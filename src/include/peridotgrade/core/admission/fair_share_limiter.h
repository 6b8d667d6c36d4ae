// Divides the concurrency of a service among the workspaces that use it.
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

/// An admitted request; to be passed to `finished` exactly once.
struct AdmissionTicket {
    WorkspaceId workspace;
    /// The pool that the request competes in: a model or an application service.
    std::string pool;
};

/// An adaptive concurrency limit per pool, divided into weighted fair shares. It learns from refusals how
/// many requests of a pool one entry can have in flight, without messages between entries. At the limit each
/// workspace is guaranteed its share; what active workspaces leave unused is lent, in order of priority, and
/// becomes available to them again as the lent requests end. Not thread safe.
class FairShareLimiter {
public:
    std::variant<AdmissionTicket, Refusal> admit(
        const Workspace& workspace, const std::string& pool, TimePoint now);
    /// `isRefusedForCapacity` if the backend servers had no capacity for the request.
    void finished(const AdmissionTicket& ticket, bool isRefusedForCapacity, TimePoint now);

    /// Estimated number of requests that this entry can have in flight; empty before the first refusal.
    std::optional<double> concurrencyLimit(const std::string& pool) const;

private:
    struct Usage {
        std::uint32_t inFlight = 0;
        double share = 1;
        TimePoint lastRequestAt;

        bool isActive(TimePoint now) const;
    };

    struct Pool {
        /// Unset until the first refusal for capacity. Invariant: at least 1.
        std::optional<double> limit;
        /// Invariant: the sum of all `inFlight` in `usage`.
        std::uint32_t inFlight = 0;
        /// Bounded by the configuration's workspaces, including former ones.
        std::map<WorkspaceId, Usage> usage;
        TimePoint lastDecrease;
        TimePoint lastFinished;
        Duration meanCompletionInterval { 0 };
    };

    bool hasRoom(const Pool& pool, const Workspace& workspace, TimePoint now) const;
    /// Guaranteed concurrency that active workspaces other than `excluded` do not use now.
    double unusedGuarantees(const Pool& pool, const WorkspaceId& excluded, TimePoint now) const;
    double guaranteedShare(const Pool& pool, const Usage& own, TimePoint now) const;
    void updateLimit(Pool& pool, bool isRefusedForCapacity, TimePoint now);

    std::map<std::string, Pool> pools;
};

} // namespace peridotgrade
