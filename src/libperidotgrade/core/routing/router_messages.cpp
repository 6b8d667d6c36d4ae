// The router's handling of agent messages: sessions, reservations, crashes.
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
        for (const AgentAttempt& pending : state->reservationRequests) {
            if (pending.attempt != message.attempt || pending.agent != agent)
                continue;
            AgentAttempt granted = pending;
            this->acceptReservation(*state, granted);
            return;
        }
        bool isRepeated = state->reservation && state->reservation->attempt == message.attempt;
        if (isRepeated && state->reservation->agent == agent)
            return;
    }
    // The attempt ended while the grant was in flight.
    this->dropStale(agent, message.attempt, "grant");
    this->agents.send(agent, ReleaseAttempt { this->agents.epochOf(agent), message.attempt });
}

void RouterCore::handle(const AgentId& agent, const ReservationRefused& message)
{
    this->agents.onLoad(agent, message.load);
    RequestState* state = this->find(message.attempt.request);
    if (state)
        state->shortestExpectedWait
            = std::min(state->shortestExpectedWait.value_or(message.expectedWait), message.expectedWait);
    this->agents.forget(agent, message.attempt);
    this->failAgentAttempt(agent, message.attempt, AttemptFailure::NoPlaceHeld);
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
    if (state->reservation)
        this->startDecode(*state);
    else
        this->requestReservations(*state);
}

void RouterCore::failAll(const AgentId& agent, const std::vector<AttemptId>& attempts, AttemptFailure reason)
{
    for (const AttemptId& attempt : attempts)
        this->failAgentAttempt(agent, attempt, reason);
}

void RouterCore::failAgentAttempt(const AgentId& agent, const AttemptId& attempt, AttemptFailure reason)
{
    RequestState* state = this->find(attempt.request);
    if (!state)
        return;
    auto isMatch = [&](const AgentAttempt& candidate) {
        return candidate.attempt == attempt && candidate.agent == agent;
    };
    if (std::erase_if(state->reservationRequests, isMatch) > 0) {
        state->excludedAgents.insert(agent);
        if (state->reservationRequests.empty())
            this->onNoReservation(*state);
        return;
    }
    bool isReservation = state->reservation && isMatch(*state->reservation);
    bool isPrefill = state->prefill && isMatch(*state->prefill);
    if (!isReservation && !isPrefill)
        return;
    bool isEngineLost = reason == AttemptFailure::EngineDied || reason == AttemptFailure::ConnectionLost
        || reason == AttemptFailure::Draining;
    if (isEngineLost)
        state->excludedAgents.insert(agent);
    this->failAttempt(*state, reason);
}

void RouterCore::handle(const AgentId& agent, const EngineCrashed& message)
{
    this->record(EventKind::EngineCrashed, AttemptId {}, agent.raw());
    std::vector<LostSuspect> running(message.running.begin(), message.running.end());
    for (const Suspect& request :
        this->quarantine.recordCrash({ agent.raw(), message.engine.raw() }, running)) {
        this->record(EventKind::RequestQuarantined, AttemptId {}, agent.raw());
        this->actions.emplace_back(PublishQuarantine { request.content });
        this->refuseQuarantined(request.content);
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
