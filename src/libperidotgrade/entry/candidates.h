// Which backend servers a shard connects to and which may get new work.
#pragma once

#include "peridotgrade/core/actions/action_router.h"
#include "peridotgrade/core/config/site_configuration.h"
#include "peridotgrade/core/membership/membership.h"
#include "peridotgrade/core/routing/routing_view.h"

#include <string>
#include <vector>

namespace peridotgrade {

/// Who chooses, and how many of each kind.
struct CandidateSelector {
    EntryId entry;
    DataCentreId dataCentre;
    /// Of one model and role, or of one application service.
    std::size_t subsetSize = 16;
};

/// The agents that this chooser's stable subsets consist of, each once.
std::vector<VmRecord> agentsToConnect(
    const CandidateSelector& selector, const SiteConfiguration& configuration, const Membership& membership);

/// Those of them that may get new model requests. `version` is the configuration's.
RoutingView routingView(const CandidateSelector& selector, const SiteConfiguration& configuration,
    ConfigVersion version, const Membership& membership);

/// Those of them that may get new application calls.
std::vector<CallCandidate> callCandidates(const CandidateSelector& selector, const Membership& membership);

} // namespace peridotgrade
