// Log lines about a configuration that comes into force.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/configuration_finding.h"
#include "peridotgrade/core/serving/routing_configuration.h"
#include "peridotgrade/ops/logger.h"

#include <optional>
#include <vector>

namespace peridotgrade {

/// Writes what is in force, which tenants are new, changed or removed, and what of the record was skipped.
/// `before` is null for the first configuration of the process. At most `delayBound`, if known, has passed
/// since the store acknowledged the new one. Keys are counted, never shown.
void logConfiguration(Logger& log, const RoutingConfiguration* before, const RoutingConfiguration& now,
    const std::vector<ConfigurationFinding>& findings, std::optional<Duration> delayBound);

} // namespace peridotgrade
