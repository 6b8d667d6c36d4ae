// Names of the setting, and the choice in its automatic mode.
#include "peridotgrade/core/serving/load_aware_scheduling.h"

#include "peridotgrade/core/base/name_table.h"

#include <algorithm>
#include <array>

namespace peridotgrade {

namespace {
    constexpr std::array<std::string_view, 3> Names { "auto", "on", "off" };
} // namespace

std::string_view nameOf(LoadAwareScheduling mode) { return nameAt(Names, mode); }

std::optional<LoadAwareScheduling> loadAwareSchedulingFrom(std::string_view name)
{
    const auto* found = std::find(Names.begin(), Names.end(), name);
    if (found == Names.end())
        return std::nullopt;
    return static_cast<LoadAwareScheduling>(found - Names.begin());
}

std::string_view loadAwareReason(LoadAwareScheduling mode, bool hasTenants, bool hasSlownessReports)
{
    if (mode == LoadAwareScheduling::On)
        return "setting";
    if (mode == LoadAwareScheduling::Off)
        return {};
    if (hasTenants)
        return "tenants";
    return hasSlownessReports ? std::string_view { "slowness_reports" } : std::string_view {};
}

} // namespace peridotgrade
