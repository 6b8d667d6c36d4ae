// Choice of application servers.
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
    auto draining = this->drainingRuns.find(agent);
    if (draining != this->drainingRuns.end() && draining->second != incarnation)
        this->drainingRuns.erase(draining);
}

void ApplicationDirectory::onLost(const AgentId& agent) { this->connected.erase(agent); }

void ApplicationDirectory::onDraining(const AgentId& agent)
{
    if (auto run = this->runOf(agent))
        this->drainingRuns[agent] = *run;
}

std::optional<Incarnation> ApplicationDirectory::runOf(const AgentId& agent) const
{
    auto found = this->connected.find(agent);
    if (found == this->connected.end())
        return std::nullopt;
    return found->second;
}

bool ApplicationDirectory::isDraining(const AgentId& agent) const
{
    return this->drainingRuns.contains(agent);
}

std::optional<AgentRun> ApplicationDirectory::choose(const ServiceId& service, const DataCentreId& dataCentre,
    const std::vector<AgentRun>& excluded, RandomSource& random) const
{
    std::vector<AgentRun> near;
    std::vector<AgentRun> far;
    for (const CallCandidate& candidate : this->candidates) {
        auto run = this->runOf(candidate.agent);
        if (!run || candidate.service != service || this->isDraining(candidate.agent))
            continue;
        AgentRun found { candidate.agent, *run };
        if (std::find(excluded.begin(), excluded.end(), found) != excluded.end())
            continue;
        (candidate.dataCentre == dataCentre ? near : far).push_back(found);
    }
    const std::vector<AgentRun>& choices = near.empty() ? far : near;
    if (choices.empty())
        return std::nullopt;
    return choices[random.below(choices.size())];
}

} // namespace peridotgrade
