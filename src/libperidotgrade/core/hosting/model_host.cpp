// The model host's public face, and what its parts share.
#include "peridotgrade/core/hosting/model_host.h"

#include "model_host_impl.h"

#include <utility>

namespace peridotgrade {

ModelHost::ModelHost(
    ModelHostSettings settings, TimerService& timers, RandomSource& random, EventSink& events)
    : impl(std::make_unique<Impl>(std::move(settings), timers, random, events))
{
}

ModelHost::~ModelHost() = default;

void ModelHost::onConnected(ConnectionId connection) { this->impl->onConnected(connection); }
void ModelHost::onDisconnected(ConnectionId connection) { this->impl->onDisconnected(connection); }

void ModelHost::onMessage(ConnectionId connection, const EntryMessage& message)
{
    this->impl->onMessage(connection, message);
}

void ModelHost::onEngineEvent(const EngineEvent& event) { this->impl->onEngineEvent(event); }
void ModelHost::drain() { this->impl->drain(); }
void ModelHost::drainForChange() { this->impl->drainForChange(); }
bool ModelHost::resume() { return this->impl->resume(); }
bool ModelHost::isDrained() const { return this->impl->isDrained(); }
void ModelHost::setVersion(ConfigVersion version) { this->impl->version = version; }
std::vector<HostAction> ModelHost::takeActions() { return this->impl->takeActions(); }
const ModelHostCounters& ModelHost::counters() const { return this->impl->currentCounters(); }

ModelHost::Impl::Impl(
    ModelHostSettings settings, TimerService& timers, RandomSource& random, EventSink& events)
    : settings(std::move(settings))
    , timers(timers)
    , random(random)
    , events(events)
    , streams(this->settings.incarnation)
{
    this->timers.subscribeAfter(this->settings.listInterval, [this] { this->onListTimer(); });
}

void ModelHost::Impl::drain()
{
    this->isLeaving = true;
    this->drainForChange();
}

bool ModelHost::Impl::resume()
{
    if (this->isLeaving)
        return false;
    if (!std::exchange(this->isDraining, false))
        return true;
    this->record(EventKind::DrainFinished, AttemptId {}, this->settings.agent.raw(), "resumed");
    for (const auto& [connection, session] : this->sessions) {
        if (session.isLive)
            this->sendOpened(session);
    }
    return true;
}

void ModelHost::Impl::drainForChange()
{
    if (this->isDraining)
        return;
    this->isDraining = true;
    this->record(EventKind::DrainStarted, AttemptId {}, this->settings.agent.raw());
    this->refuseAllAsks(ReservationRefusalReason::Draining);
    for (auto& [connection, session] : this->sessions) {
        if (session.isLive)
            this->send(connection, Draining {});
    }
}

bool ModelHost::Impl::isDrained() const
{
    bool isIdle = this->places.granted() == 0 && this->prefills.isEmpty() && this->streams.isEmpty();
    return this->isDraining && isIdle;
}

std::vector<HostAction> ModelHost::Impl::takeActions() { return std::exchange(this->actions, {}); }

const ModelHostCounters& ModelHost::Impl::currentCounters()
{
    this->totals.placesHeld = this->capacity.placesUsed();
    this->totals.sessions = 0;
    for (const auto& [connection, session] : this->sessions)
        this->totals.sessions += session.isLive ? 1 : 0;
    return this->totals;
}

void ModelHost::Impl::send(ConnectionId connection, AgentMessage message)
{
    if (this->sessions.contains(connection))
        this->actions.emplace_back(SendToEntry { connection, std::move(message) });
}

void ModelHost::Impl::tellEngine(EngineCommand command)
{
    this->actions.emplace_back(TellEngine { std::move(command) });
}

void ModelHost::Impl::record(
    EventKind kind, const AttemptId& attempt, std::string subject, std::string detail)
{
    TimelineEvent event;
    event.kind = kind;
    event.at = this->timers.now();
    event.attempt = attempt;
    event.subject = std::move(subject);
    event.detail = std::move(detail);
    this->events.record(std::move(event));
}

LiveLoad ModelHost::Impl::liveLoad() const
{
    LiveLoad load;
    load.placesTotal = this->capacity.placesTotal();
    load.placesFree = this->isReady() && !this->isDraining ? this->capacity.placesFree() : 0;
    load.asksQueued = static_cast<std::uint32_t>(this->places.queued());
    Duration backlog = this->prefills.backlog(this->timers.now());
    load.prefillTokensPerSecond = this->engine.prefillTokensPerSecond;
    load.prefillBacklog = std::chrono::duration_cast<std::chrono::milliseconds>(backlog);
    return load;
}

} // namespace peridotgrade
