// Which application servers an entry can reach, and which may get new work.
#pragma once

#include "agent_incarnation.h"
#include "peridotgrade/core/actions/action_router.h"

#include <map>
#include <optional>
#include <set>

namespace peridotgrade {

/// Candidates come from outside (VM list, configuration) and may be wrong; a connection is what proves that
/// an agent is there. New work goes to connected candidates that have not said that they drain.
class ApplicationDirectory {
public:
    void updateCandidates(std::vector<CallCandidate> candidates);
    void onConnected(const AgentId& agent, Incarnation incarnation);
    void onLost(const AgentId& agent);
    /// Holds until another run of the agent connects.
    void onDraining(const AgentId& agent);

    /// The run of a connected agent.
    std::optional<Incarnation> incarnationOf(const AgentId& agent) const;
    bool isDraining(const AgentId& agent) const;

    /// An agent for new work, of the entry's data centre if there is one; none of `excluded`.
    std::optional<AgentIncarnation> choose(const ServiceId& service, const DataCentreId& dataCentre,
        const std::vector<AgentIncarnation>& excluded, RandomSource& random) const;

private:
    std::vector<CallCandidate> candidates;
    std::map<AgentId, Incarnation> connected;
    std::map<AgentId, Incarnation> drainingIncarnations;
};

} // namespace peridotgrade
