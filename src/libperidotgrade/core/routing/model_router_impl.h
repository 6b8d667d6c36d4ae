// Definition of the ModelRouter template, for the files that instantiate it.
#pragma once

#include "peridotgrade/core/routing/model_router.h"
#include "router_core.h"

#include <utility>

namespace peridotgrade {

template <PlacementPolicy Policy> class ModelRouter<Policy>::Impl : public RouterCore {
public:
    using RouterCore::RouterCore;
};

template <PlacementPolicy Policy>
ModelRouter<Policy>::ModelRouter(ModelRouterSettings settings, Policy policy, TimerService& timers,
    RandomSource& random, Quarantine& quarantine, EventSink& events)
    : impl(std::make_unique<Impl>(std::move(settings),
        std::make_unique<PolicyChooser<Policy>>(std::move(policy)), timers, random, quarantine, events))
{
}

template <PlacementPolicy Policy> ModelRouter<Policy>::~ModelRouter() = default;

template <PlacementPolicy Policy> void ModelRouter<Policy>::submit(ModelRequest request)
{
    this->impl->submit(std::move(request));
}

template <PlacementPolicy Policy> void ModelRouter<Policy>::cancel(RequestId request)
{
    this->impl->cancel(request);
}

template <PlacementPolicy Policy> void ModelRouter<Policy>::updateView(RoutingView view)
{
    this->impl->updateView(std::move(view));
}

template <PlacementPolicy Policy> void ModelRouter<Policy>::onAgentConnected(const AgentId& agent)
{
    this->impl->onAgentConnected(agent);
}

template <PlacementPolicy Policy> void ModelRouter<Policy>::onAgentLost(const AgentId& agent)
{
    this->impl->onAgentLost(agent);
}

template <PlacementPolicy Policy>
void ModelRouter<Policy>::onMessage(const AgentId& agent, const AgentMessage& message)
{
    this->impl->onMessage(agent, message);
}

template <PlacementPolicy Policy>
void ModelRouter<Policy>::onLoadReport(const AgentId& agent, const LiveLoad& load)
{
    this->impl->onLoadReport(agent, load);
}

template <PlacementPolicy Policy> std::vector<RouterAction> ModelRouter<Policy>::takeActions()
{
    return this->impl->takeActions();
}

template <PlacementPolicy Policy> const ModelRouterCounters& ModelRouter<Policy>::counters() const
{
    return this->impl->counters();
}

template <PlacementPolicy Policy> std::size_t ModelRouter<Policy>::openRequests() const
{
    return this->impl->openRequests();
}

template <PlacementPolicy Policy> std::size_t ModelRouter<Policy>::heldAttempts() const
{
    return this->impl->heldAttempts();
}

} // namespace peridotgrade
