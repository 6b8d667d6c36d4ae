// Sessions with agents: opening, renewal and loss.
#include "agent_directory.h"

#include <utility>

namespace peridotgrade {

namespace {
    // A lease survives the loss of two renewals.
    constexpr int RenewalsPerLease = 3;
} // namespace

AgentDirectory::AgentDirectory(
    EntryId entry, Incarnation incarnation, TimerService& timers, std::vector<RouterAction>& actions)
    : entry(std::move(entry))
    , incarnation(incarnation)
    , timers(timers)
    , actions(actions)
{
}

AgentSession* AgentDirectory::find(const AgentId& agent)
{
    auto found = this->sessions.find(agent);
    return found == this->sessions.end() ? nullptr : &found->second;
}

const AgentSession* AgentDirectory::find(const AgentId& agent) const
{
    auto found = this->sessions.find(agent);
    return found == this->sessions.end() ? nullptr : &found->second;
}

std::vector<AttemptId> AgentDirectory::onConnected(const AgentId& agent)
{
    AgentSession& session = this->sessions[agent];
    std::vector<AttemptId> lost = this->takeHeld(session);
    session.agent = agent;
    session.isDraining = false;
    this->open(session);
    return lost;
}

void AgentDirectory::open(AgentSession& session)
{
    session.link = AgentLink::Opening;
    OpenSession message;
    message.entry = this->entry;
    message.incarnation = this->incarnation;
    message.version = this->version;
    this->send(session.agent, std::move(message));
}

std::vector<AttemptId> AgentDirectory::takeHeld(AgentSession& session)
{
    std::vector<AttemptId> held(session.held.begin(), session.held.end());
    session.held.clear();
    return held;
}

std::vector<AttemptId> AgentDirectory::onLost(const AgentId& agent)
{
    AgentSession* session = this->find(agent);
    if (!session)
        return {};
    session->link = AgentLink::Down;
    return this->takeHeld(*session);
}

std::vector<AttemptId> AgentDirectory::onRefused(const AgentId& agent, SessionEpoch epoch)
{
    AgentSession* session = this->find(agent);
    // A refusal of an earlier epoch is stale, since a new session is already open.
    if (!session || session->link != AgentLink::Open || session->epoch != epoch)
        return {};
    std::vector<AttemptId> lost = this->takeHeld(*session);
    this->open(*session);
    return lost;
}

void AgentDirectory::onOpened(const AgentId& agent, const SessionOpened& message)
{
    AgentSession* session = this->find(agent);
    if (!session)
        return;
    // An agent that accepts work again after a drain reports it by repeating SessionOpened for the open
    // session.
    if (session->link == AgentLink::Open && session->epoch == message.epoch)
        session->isDraining = message.draining;
    if (session->link != AgentLink::Opening)
        return;
    session->link = AgentLink::Open;
    session->epoch = message.epoch;
    session->leaseDuration = message.leaseDuration;
    session->isDraining = message.draining;
    session->hasRenewTimer = false;
}

void AgentDirectory::onDraining(const AgentId& agent)
{
    if (AgentSession* session = this->find(agent))
        session->isDraining = true;
}

void AgentDirectory::onLoad(const AgentId& agent, const LiveLoad& load)
{
    AgentSession* session = this->find(agent);
    if (!session)
        return;
    session->load = load;
    session->loadSeenAt = this->timers.now();
    session->ownPrefillTokensSinceReport = 0;
}

bool AgentDirectory::isUsable(const AgentId& agent) const
{
    const AgentSession* session = this->find(agent);
    return session && session->isUsable();
}

SessionEpoch AgentDirectory::epochOf(const AgentId& agent) const
{
    const AgentSession* session = this->find(agent);
    return session ? session->epoch : SessionEpoch {};
}

void AgentDirectory::track(const AgentId& agent, const AttemptId& attempt)
{
    AgentSession* session = this->find(agent);
    if (!session)
        return;
    session->held.insert(attempt);
    this->armRenewTimer(*session);
}

void AgentDirectory::release(const AgentId& agent, const AttemptId& attempt)
{
    AgentSession* session = this->find(agent);
    if (!session || session->held.erase(attempt) == 0)
        return;
    this->send(agent, ReleaseAttempt { session->epoch, attempt });
}

void AgentDirectory::forget(const AgentId& agent, const AttemptId& attempt)
{
    if (AgentSession* session = this->find(agent))
        session->held.erase(attempt);
}

void AgentDirectory::countPrefill(const AgentId& agent, std::uint32_t promptTokens)
{
    if (AgentSession* session = this->find(agent))
        session->ownPrefillTokensSinceReport += promptTokens;
}

EngineView AgentDirectory::viewOf(const EngineCandidate& candidate) const
{
    EngineView view;
    view.agent = candidate.agent;
    view.dataCentre = candidate.dataCentre;
    view.role = candidate.role;
    const AgentSession* session = this->find(candidate.agent);
    if (!session)
        return view;
    view.load = session->load;
    view.loadSeenAt = session->loadSeenAt;
    view.ownInFlight = static_cast<std::uint32_t>(session->held.size());
    view.ownPrefillTokensSinceReport = session->ownPrefillTokensSinceReport;
    view.prefillTokensPerSecond = session->load.prefillTokensPerSecond;
    return view;
}

std::size_t AgentDirectory::heldAttempts() const
{
    std::size_t sum = 0;
    for (const auto& [agent, session] : this->sessions)
        sum += session.held.size();
    return sum;
}

bool AgentDirectory::holdsAnyOf(RequestId request) const
{
    for (const auto& [agent, session] : this->sessions) {
        auto first = session.held.lower_bound(AttemptId { request, 0 });
        if (first != session.held.end() && first->request == request)
            return true;
    }
    return false;
}

void AgentDirectory::send(const AgentId& agent, EntryMessage message)
{
    this->actions.emplace_back(SendToAgent { agent, std::move(message) });
}

void AgentDirectory::armRenewTimer(AgentSession& session)
{
    if (session.hasRenewTimer)
        return;
    session.hasRenewTimer = true;
    this->timers.subscribeAfter(session.leaseDuration / RenewalsPerLease,
        [this, agent = session.agent, epoch = session.epoch] { this->onRenewTimer(agent, epoch); });
}

void AgentDirectory::onRenewTimer(const AgentId& agent, SessionEpoch epoch)
{
    AgentSession* session = this->find(agent);
    if (!session || session->link != AgentLink::Open || session->epoch != epoch)
        return;
    session->hasRenewTimer = false;
    // An idle session sends no heartbeats; the next tracked attempt arms the timer again.
    if (session->held.empty())
        return;
    RenewSession renewal;
    renewal.epoch = epoch;
    renewal.held.assign(session->held.begin(), session->held.end());
    renewal.version = this->version;
    this->send(agent, std::move(renewal));
    this->armRenewTimer(*session);
}

} // namespace peridotgrade
