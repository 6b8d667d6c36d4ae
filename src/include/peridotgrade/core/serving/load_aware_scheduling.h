// Whether scheduling follows learned speeds, waits and the expected cost of requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace peridotgrade {

/// Setting of a deployment.
enum class LoadAwareScheduling : std::uint8_t {
    /// Where the deployment shows the need for it.
    Auto,
    On,
    Off,
};

std::string_view nameOf(LoadAwareScheduling mode);
std::optional<LoadAwareScheduling> loadAwareSchedulingFrom(std::string_view name);

/// Why scheduling is load-aware: `setting`, `tenants` (the configuration has tenants, whose requests compete)
/// or `slowness_reports` (servers report that other users of their machines slow them down). Empty if it is
/// not.
std::string_view loadAwareReason(LoadAwareScheduling mode, bool hasTenants, bool hasSlownessReports);

} // namespace peridotgrade
