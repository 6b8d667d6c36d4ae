// Finds intents that contradict each other or the configuration in force.
#pragma once

#include "peridotgrade/core/config/config_error.h"
#include "peridotgrade/core/config/intent.h"

#include <vector>

namespace peridotgrade {

/// Everything that keeps these intents from being planned together on `base`, each named. Nothing is guessed:
/// while the list is not empty there is no plan.
std::vector<ConfigError> problemsIn(const std::vector<Intent>& intents, const SiteConfiguration& base);

} // namespace peridotgrade
