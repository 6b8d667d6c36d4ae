// Selects the backend servers that a shard connects to and those that may get new work.
#pragma once

#include "peridotgrade/core/actions/action_router.h"
#include "peridotgrade/core/config/site_configuration.h"
#include "peridotgrade/core/membership/membership.h"
#include "peridotgrade/core/routing/routing_view.h"

#include <string>
#include <vector>

namespace peridotgrade {

/// The shard for which subsets are selected, and their size.
struct CandidateSelector {
    EntryId entry;
    DataCentreId dataCentre;
    /// Maximum number of backend servers per model and role, or per application service.
    std::size_t subsetSize = 16;
};

/// Returns all members of the selector's stable subsets, each once.
std::vector<VmRecord> agentsToConnect(
    const CandidateSelector& selector, const SiteConfiguration& configuration, const Membership& membership);

/// Returns the subset members that may get new model requests. `version` is that of `configuration`.
RoutingView routingView(const CandidateSelector& selector, const SiteConfiguration& configuration,
    ConfigVersion version, const Membership& membership);

/// Returns the subset members that may get new application calls.
std::vector<CallCandidate> callCandidates(const CandidateSelector& selector, const Membership& membership);

} // namespace peridotgrade
