// The application servers that an entry can reach, and those that may get new calls.
#pragma once

#include "agent_incarnation.h"
#include "peridotgrade/core/actions/action_router.h"

#include <map>
#include <optional>
#include <set>

namespace peridotgrade {

/// Candidates come from the VM list and the configuration and may be outdated; only a connection proves that
/// an agent exists. New calls go to connected candidates that have not reported that they are draining.
class ApplicationDirectory {
public:
    void updateCandidates(std::vector<CallCandidate> candidates);
    void onConnected(const AgentId& agent, Incarnation incarnation);
    void onLost(const AgentId& agent);
    /// The agent counts as draining until another incarnation of it connects.
    void onDraining(const AgentId& agent);

    /// The incarnation of a connected agent.
    std::optional<Incarnation> incarnationOf(const AgentId& agent) const;
    bool isDraining(const AgentId& agent) const;

    /// Chooses an agent for a new call at random among those not in `excluded`: one in `dataCentre` if there
    /// is any, otherwise one elsewhere.
    std::optional<AgentIncarnation> choose(const ServiceId& service, const DataCentreId& dataCentre,
        const std::vector<AgentIncarnation>& excluded, RandomSource& random) const;

private:
    std::vector<CallCandidate> candidates;
    std::map<AgentId, Incarnation> connected;
    std::map<AgentId, Incarnation> drainingIncarnations;
};

} // namespace peridotgrade
