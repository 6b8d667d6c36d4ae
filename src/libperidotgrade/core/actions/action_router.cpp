// Dispatches reads and actions, which share one view of the agents.
#include "peridotgrade/core/actions/action_router.h"

#include "action_flow.h"
#include "read_flow.h"

namespace peridotgrade {

class ActionRouter::Impl {
public:
    Impl(ActionRouterSettings settings, TimerService& timers, RandomSource& random, EventSink& events)
        : context { std::move(settings), timers, random, events, {}, {}, {} }
        , reads(this->context)
        , actions(this->context)
    {
    }

    void handle(const AgentId& agent, const ReadAnswered& message) { this->reads.onAnswered(agent, message); }
    void handle(const AgentId& agent, const ReadFailed& message) { this->reads.onFailed(agent, message); }
    void handle(const AgentId& agent, const ActionReport& message) { this->actions.onReport(agent, message); }
    void handle(const AgentId& agent, const Draining&) { this->context.agents.onDraining(agent); }
    void handle(const AgentId& agent, const SessionOpened& message)
    {
        if (message.draining)
            this->context.agents.onDraining(agent);
    }

    /// Ignores messages that do not concern application calls.
    template <typename Message> void handle(const AgentId&, const Message&) { }

    CallContext context;
    ReadFlow reads;
    ActionFlow actions;
};

ActionRouter::ActionRouter(
    ActionRouterSettings settings, TimerService& timers, RandomSource& random, EventSink& events)
    : impl(std::make_unique<Impl>(std::move(settings), timers, random, events))
{
}

ActionRouter::~ActionRouter() = default;

void ActionRouter::submit(CallRequest request, WallTime now)
{
    if (request.isAction())
        this->impl->actions.submit(std::move(request), now);
    else
        this->impl->reads.submit(std::move(request));
}

void ActionRouter::cancel(RequestId request)
{
    this->impl->reads.cancel(request);
    this->impl->actions.cancel(request);
}

void ActionRouter::updateCandidates(std::vector<CallCandidate> candidates)
{
    this->impl->context.agents.updateCandidates(std::move(candidates));
}

void ActionRouter::onAgentConnected(const AgentId& agent, Incarnation incarnation)
{
    this->impl->context.agents.onConnected(agent, incarnation);
    this->impl->actions.onAgentConnected(agent);
}

void ActionRouter::onAgentLost(const AgentId& agent)
{
    this->impl->context.agents.onLost(agent);
    this->impl->reads.onAgentLost(agent);
    this->impl->actions.onAgentLost(agent);
}

void ActionRouter::onMessage(const AgentId& agent, const AgentMessage& message)
{
    std::visit([&](const auto& typed) { this->impl->handle(agent, typed); }, message);
}

void ActionRouter::onAppendResult(AppendId append, AppendResult result)
{
    this->impl->actions.onAppendResult(append, result);
}

void ActionRouter::onRecords(const std::vector<LogRecord>& records)
{
    this->impl->actions.onRecords(records);
}

void ActionRouter::onCaughtUp(LogOffset, TimePoint readBegan) { this->impl->actions.onCaughtUp(readBegan); }

void ActionRouter::onGap(LogOffset) { this->impl->actions.onGap(); }

void ActionRouter::setLogAvailable(bool isAvailable) { this->impl->actions.setLogAvailable(isAvailable); }

std::vector<CallAction> ActionRouter::takeActions()
{
    std::vector<CallAction> taken;
    taken.swap(this->impl->context.actions);
    return taken;
}

const ActionRouterCounters& ActionRouter::counters() const { return this->impl->context.counters; }

std::size_t ActionRouter::openRequests() const
{
    return this->impl->reads.openRequests() + this->impl->actions.openActions();
}

} // namespace peridotgrade
