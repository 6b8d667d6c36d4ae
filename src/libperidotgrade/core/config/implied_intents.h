// Model intents that follow from a service's share of the commitment.
#pragma once

#include "peridotgrade/core/config/intent.h"

#include <cstdint>
#include <vector>

namespace peridotgrade {

/// Number of engines that the commitment pays for over the whole period; 0 if there is no price.
std::uint32_t committedEnginesOf(const Commitment& commitment);

/// Number of engines that a service's share of the commitment pays for.
std::uint32_t committedEnginesOf(const Commitment& commitment, double share);

/// The models that the configuration serves, each in the form of an intent.
std::vector<ServeModel> servedModels(const SiteConfiguration& configuration);

/// The intents for models, with those that follow from `ShareCommitment`: when a service's share changes,
/// each of its models without an intent of its own keeps its present mix of engines, scaled to the share.
/// A share that pays for no whole engine changes no engines.
std::vector<ServeModel> modelIntents(const std::vector<Intent>& intents, const SiteConfiguration& base);

} // namespace peridotgrade
