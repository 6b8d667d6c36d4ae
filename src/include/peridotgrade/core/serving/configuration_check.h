// Rules by which a configuration is checked before it comes into force.
#pragma once

#include "peridotgrade/core/serving/configuration_finding.h"
#include "peridotgrade/core/serving/routing_configuration.h"

#include <vector>

namespace peridotgrade {

/// Errors, items that can never match and limits that contradict each other. What the codec has skipped is
/// not in the configuration and is reported by the codec.
std::vector<ConfigurationFinding> checkConfiguration(const RoutingConfiguration& configuration);

} // namespace peridotgrade
