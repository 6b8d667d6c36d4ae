// Tracks connected and draining application servers and chooses among them.
#include "application_directory.h"

#include <algorithm>

namespace peridotgrade {

void ApplicationDirectory::updateCandidates(std::vector<CallCandidate> candidates)
{
    this->candidates = std::move(candidates);
}

void ApplicationDirectory::onConnected(const AgentId& agent, Incarnation incarnation)
{
    this->connected[agent] = incarnation;
    auto draining = this->drainingIncarnations.find(agent);
    if (draining != this->drainingIncarnations.end() && draining->second != incarnation)
        this->drainingIncarnations.erase(draining);
}

void ApplicationDirectory::onLost(const AgentId& agent) { this->connected.erase(agent); }

void ApplicationDirectory::onDraining(const AgentId& agent)
{
    if (auto incarnation = this->incarnationOf(agent))
        this->drainingIncarnations[agent] = *incarnation;
}

std::optional<Incarnation> ApplicationDirectory::incarnationOf(const AgentId& agent) const
{
    auto found = this->connected.find(agent);
    if (found == this->connected.end())
        return std::nullopt;
    return found->second;
}

bool ApplicationDirectory::isDraining(const AgentId& agent) const
{
    return this->drainingIncarnations.contains(agent);
}

std::optional<AgentIncarnation> ApplicationDirectory::choose(const ServiceId& service,
    const DataCentreId& dataCentre, const std::vector<AgentIncarnation>& excluded, RandomSource& random) const
{
    std::vector<AgentIncarnation> local;
    std::vector<AgentIncarnation> remote;
    for (const CallCandidate& candidate : this->candidates) {
        auto incarnation = this->incarnationOf(candidate.agent);
        if (!incarnation || candidate.service != service || this->isDraining(candidate.agent))
            continue;
        AgentIncarnation found { candidate.agent, *incarnation };
        if (std::find(excluded.begin(), excluded.end(), found) != excluded.end())
            continue;
        (candidate.dataCentre == dataCentre ? local : remote).push_back(found);
    }
    const std::vector<AgentIncarnation>& choices = local.empty() ? remote : local;
    if (choices.empty())
        return std::nullopt;
    return choices[random.below(choices.size())];
}

} // namespace peridotgrade
