// Holds workspaces to the rates that their configuration allows.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/config/site_configuration.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace peridotgrade {

/// One entry's part of each workspace's limits: a site's rate is shared out evenly among its entries, without
/// any message between them. A workspace may go into debt with one request, however large, and is refused
/// until the debt is paid off, so that a rate below one request's size still serves. Not thread safe.
class WorkspaceLimiter {
public:
    /// How many entries share a site's rates; at least one.
    void setEntries(std::size_t count);

    /// Charges one request with this many output tokens. Gives the time after which the workspace is served
    /// again if it is over a limit; then nothing is charged.
    std::optional<std::chrono::milliseconds> admit(
        const Workspace& workspace, std::uint32_t outputTokens, TimePoint now);

    /// Gives back what was charged for tokens that were not generated.
    void giveBack(const Workspace& workspace, std::uint32_t outputTokens);

private:
    struct Balance {
        double requests = 0;
        double tokens = 0;
        TimePoint settledAt;
    };

    void settle(Balance& balance, const Workspace& workspace, TimePoint now) const;
    double shareOf(double rate) const { return rate / static_cast<double>(this->entries); }

    /// Invariant: at least 1.
    std::size_t entries = 1;
    /// Invariant: no balance exceeds its rate times the burst time. Bounded by the configuration's
    /// workspaces.
    std::unordered_map<WorkspaceId, Balance> balances;
};

} // namespace peridotgrade
