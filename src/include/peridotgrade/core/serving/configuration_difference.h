// Differences of a configuration from the one in force.
#pragma once

#include "peridotgrade/core/serving/configuration_finding.h"
#include "peridotgrade/core/serving/routing_configuration.h"

#include <vector>

namespace peridotgrade {

/// A note for each route, service, tenant, key and field that is new, changed or gone, with both values, and
/// an error if the version is not above that in force. Keys appear as short hashes.
std::vector<ConfigurationFinding> differencesOf(
    const RoutingConfiguration& inForce, const RoutingConfiguration& proposed);

} // namespace peridotgrade
