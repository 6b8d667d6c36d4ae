// Model intents that a share of the commitment implies.
#pragma once

#include "peridotgrade/core/config/intent.h"

#include <cstdint>
#include <vector>

namespace peridotgrade {

/// Engines that the whole commitment pays for through the whole period; 0 without a price.
std::uint32_t committedEnginesOf(const Commitment& commitment);

/// Engines that a service's share of the commitment pays for.
std::uint32_t committedEnginesOf(const Commitment& commitment, double share);

/// What each model that the configuration serves is asked for now, as if by an intent.
std::vector<ServeModel> servedModels(const SiteConfiguration& configuration);

/// The intents for models, with those implied by ShareCommitment: a service whose share changes and whose
/// models are not named by an intent of their own gets its present mix of engines, scaled to the share.
std::vector<ServeModel> modelIntents(const std::vector<Intent>& intents, const SiteConfiguration& base);

} // namespace peridotgrade
