// Finds intents that contradict each other or the configuration in force.
#pragma once

#include "peridotgrade/core/config/config_error.h"
#include "peridotgrade/core/config/intent.h"

#include <vector>

namespace peridotgrade {

/// All problems that prevent planning these intents together on `base`. There is no plan unless the list is
/// empty: no problem is resolved by guessing.
std::vector<ConfigError> problemsIn(const std::vector<Intent>& intents, const SiteConfiguration& base);

} // namespace peridotgrade
