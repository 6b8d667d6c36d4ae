// The router's conversations with agents: sessions, places, crashes.
#include "router_core.h"

#include <algorithm>

namespace peridotgrade {

void RouterCore::onAgentConnected(const AgentId& agent)
{
    this->record(EventKind::AgentConnected, AttemptId {}, agent.raw());
    this->failAll(agent, this->agents.onConnected(agent), AttemptFailure::ConnectionLost);
}

void RouterCore::onAgentLost(const AgentId& agent)
{
    this->record(EventKind::AgentLost, AttemptId {}, agent.raw());
    this->failAll(agent, this->agents.onLost(agent), AttemptFailure::ConnectionLost);
}

void RouterCore::onMessage(const AgentId& agent, const AgentMessage& message)
{
    std::visit([&](const auto& typed) { this->handle(agent, typed); }, message);
}

void RouterCore::handle(const AgentId& agent, const SessionOpened& message)
{
    this->agents.onOpened(agent, message);
    this->record(EventKind::SessionOpened, AttemptId {}, agent.raw());
}

void RouterCore::handle(const AgentId& agent, const SessionRefused& message)
{
    this->record(EventKind::SessionRefused, AttemptId {}, agent.raw());
    this->failAll(agent, this->agents.onRefused(agent, message.epoch), AttemptFailure::SessionLost);
}

void RouterCore::handle(const AgentId& agent, const Draining&) { this->agents.onDraining(agent); }

void RouterCore::handle(const AgentId& agent, const ReservationGranted& message)
{
    this->agents.onLoad(agent, message.load);
    RequestState* state = this->find(message.attempt.request);
    if (state) {
        for (const AttemptHold& ask : state->asks) {
            if (ask.attempt != message.attempt || ask.agent != agent)
                continue;
            AttemptHold granted = ask;
            this->takePlace(*state, granted);
            return;
        }
        bool isRepeated = state->place && state->place->attempt == message.attempt;
        if (isRepeated && state->place->agent == agent)
            return;
    }
    // The attempt ended while the grant was on its way.
    this->dropStale(agent, message.attempt, "grant");
    this->agents.send(agent, ReleaseAttempt { this->agents.epochOf(agent), message.attempt });
}

void RouterCore::handle(const AgentId& agent, const ReservationRefused& message)
{
    this->agents.onLoad(agent, message.load);
    RequestState* state = this->find(message.attempt.request);
    if (state)
        state->shortestWait
            = std::min(state->shortestWait.value_or(message.expectedWait), message.expectedWait);
    this->agents.forget(agent, message.attempt);
    this->failHeld(agent, message.attempt, AttemptFailure::NoPlaceHeld);
}

void RouterCore::handle(const AgentId& agent, const PrefillFinished& message)
{
    this->agents.onLoad(agent, message.load);
    RequestState* state = this->find(message.attempt.request);
    bool isCurrent = state && state->phase == RequestPhase::Prefilling && state->prefill
        && state->prefill->attempt == message.attempt && state->prefill->agent == agent;
    if (!isCurrent) {
        this->dropStale(agent, message.attempt, "prefill");
        return;
    }
    state->hasRun = true;
    state->kvCache = message;
    if (state->place)
        this->startDecode(*state);
    else
        this->askPlaces(*state);
}

void RouterCore::failAll(const AgentId& agent, const std::vector<AttemptId>& attempts, AttemptFailure reason)
{
    for (const AttemptId& attempt : attempts)
        this->failHeld(agent, attempt, reason);
}

void RouterCore::failHeld(const AgentId& agent, const AttemptId& attempt, AttemptFailure reason)
{
    RequestState* state = this->find(attempt.request);
    if (!state)
        return;
    auto isIt = [&](const AttemptHold& hold) { return hold.attempt == attempt && hold.agent == agent; };
    if (std::erase_if(state->asks, isIt) > 0) {
        state->avoided.insert(agent);
        if (state->asks.empty())
            this->onNoPlace(*state);
        return;
    }
    bool isPlace = state->place && isIt(*state->place);
    bool isPrefill = state->prefill && isIt(*state->prefill);
    if (!isPlace && !isPrefill)
        return;
    bool isEngineGone = reason == AttemptFailure::EngineDied || reason == AttemptFailure::ConnectionLost
        || reason == AttemptFailure::Draining;
    if (isEngineGone)
        state->avoided.insert(agent);
    this->failAttempt(*state, reason);
}

void RouterCore::handle(const AgentId& agent, const EngineCrashed& message)
{
    this->record(EventKind::EngineCrashed, AttemptId {}, agent.raw());
    for (Fingerprint fingerprint : this->quarantine.recordCrash(agent, message.engine, message.running)) {
        this->record(EventKind::RequestQuarantined, AttemptId {}, agent.raw());
        this->actions.emplace_back(PublishQuarantine { fingerprint });
        this->refuseQuarantined(fingerprint);
    }
}

void RouterCore::handle(const AgentId&, const QuarantineNotice& message)
{
    for (Fingerprint fingerprint : message.quarantined) {
        this->quarantine.quarantine(fingerprint);
        this->refuseQuarantined(fingerprint);
    }
}

void RouterCore::refuseQuarantined(Fingerprint fingerprint)
{
    std::vector<RequestId> affected;
    for (const auto& [id, state] : this->requests) {
        if (state.fingerprint == fingerprint)
            affected.push_back(id);
    }
    for (RequestId id : affected) {
        if (RequestState* state = this->find(id))
            this->refuse(*state, RefusalReason::Quarantined);
    }
}

void RouterCore::dropStale(const AgentId& agent, const AttemptId& attempt, const char* what)
{
    this->record(EventKind::StaleMessageDropped, attempt, agent.raw(), what);
}

} // namespace peridotgrade
