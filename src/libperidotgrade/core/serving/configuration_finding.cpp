// Names of severities.
#include "peridotgrade/core/serving/configuration_finding.h"

#include "peridotgrade/core/base/name_table.h"

#include <array>

namespace peridotgrade {

std::string_view nameOf(FindingSeverity severity)
{
    constexpr std::array<std::string_view, 3> Names { "note", "warning", "error" };
    return nameAt(Names, severity);
}

} // namespace peridotgrade
