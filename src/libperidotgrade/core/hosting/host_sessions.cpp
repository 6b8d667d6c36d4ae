// The model host's sessions: epochs, leases, and the release of what no session owns.
#include "model_host_impl.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>

namespace peridotgrade {

void ModelHost::Impl::onConnected(ConnectionId connection)
{
    HostSession session;
    session.connection = connection;
    this->sessions.emplace(connection, session);
}

void ModelHost::Impl::onDisconnected(ConnectionId connection)
{
    auto found = this->sessions.find(connection);
    if (found == this->sessions.end())
        return;
    HostSession session = found->second;
    this->sessions.erase(found);
    if (session.isLive)
        this->endSession(session, EventKind::SessionLapsed);
}

void ModelHost::Impl::onMessage(ConnectionId connection, const EntryMessage& message)
{
    auto found = this->sessions.find(connection);
    if (found == this->sessions.end())
        return;
    std::visit([&](const auto& typed) { this->handle(found->second, typed); }, message);
}

void ModelHost::Impl::handle(HostSession& session, const OpenSession& message)
{
    // A repeated OpenSession on a connection ends the session that the first one opened.
    if (session.isLive)
        this->endSession(session, EventKind::SessionLapsed);
    this->endOtherSessionsOf(message.entry, session.connection);
    session.entry = message.entry;
    session.epoch = SessionEpoch { this->random.next() };
    session.isLive = true;
    session.renewedAt = this->timers.now();
    this->record(EventKind::SessionOpened, AttemptId {}, message.entry.raw());
    this->sendOpened(session);
    for (EngineCrashed& report : this->crashReports.recent(this->timers.now()))
        this->send(session.connection, std::move(report));
}

void ModelHost::Impl::sendOpened(const HostSession& session)
{
    SessionOpened opened;
    opened.agent = this->settings.agent;
    opened.incarnation = this->settings.incarnation;
    opened.epoch = session.epoch;
    opened.leaseDuration = this->settings.leaseDuration;
    opened.version = this->version;
    opened.draining = this->isDraining;
    this->send(session.connection, std::move(opened));
}

void ModelHost::Impl::endOtherSessionsOf(const EntryId& entry, ConnectionId except)
{
    for (auto& [connection, session] : this->sessions) {
        if (session.isLive && session.entry == entry && connection != except)
            this->endSession(session, EventKind::SessionLapsed);
    }
}

void ModelHost::Impl::handle(HostSession& session, const RenewSession& message)
{
    if (!this->acceptEpoch(session, message.epoch))
        return;
    for (const AttemptKey& key : this->keysOf(session.epoch)) {
        bool isKnown = std::find(message.held.begin(), message.held.end(), key.attempt) != message.held.end();
        if (isKnown)
            continue;
        this->record(EventKind::OrphanFreed, key.attempt, session.entry.raw(), "not in renewal");
        this->release(key);
    }
}

void ModelHost::Impl::handle(HostSession&, const ReleaseAttempt& message)
{
    this->release(AttemptKey { message.epoch, message.attempt });
}

bool ModelHost::Impl::acceptEpoch(HostSession& session, SessionEpoch epoch)
{
    if (session.isLive && session.epoch == epoch) {
        this->renew(session);
        return true;
    }
    this->record(EventKind::SessionRefused, AttemptId {}, session.entry.raw());
    this->send(session.connection, SessionRefused { epoch });
    return false;
}

void ModelHost::Impl::renew(HostSession& session)
{
    session.renewedAt = this->timers.now();
    this->armExpiryTimer(session);
}

void ModelHost::Impl::armExpiryTimer(HostSession& session)
{
    if (session.hasExpiryTimer)
        return;
    session.hasExpiryTimer = true;
    TimePoint due = session.renewedAt + this->settings.leaseDuration;
    this->timers.subscribeAt(due, [this, connection = session.connection, epoch = session.epoch] {
        this->onExpiryTimer(connection, epoch);
    });
}

void ModelHost::Impl::onExpiryTimer(ConnectionId connection, SessionEpoch epoch)
{
    auto found = this->sessions.find(connection);
    if (found == this->sessions.end() || !found->second.isLive || found->second.epoch != epoch)
        return;
    HostSession& session = found->second;
    session.hasExpiryTimer = false;
    // Without reservations and prefills nothing can expire; the entry's next message renews the session.
    if (this->keysOf(epoch).empty())
        return;
    if (this->timers.now() < session.renewedAt + this->settings.leaseDuration) {
        this->armExpiryTimer(session);
        return;
    }
    ++this->totals.leasesExpired;
    this->endSession(session, EventKind::SessionLapsed);
    this->send(connection, SessionRefused { epoch });
}

void ModelHost::Impl::endSession(HostSession& session, EventKind reason)
{
    session.isLive = false;
    session.hasExpiryTimer = false;
    this->record(reason, AttemptId {}, session.entry.raw());
    std::vector<AttemptKey> keys = this->keysOf(session.epoch);
    // Queued requests are removed first, so that a freed reservation is not granted to the session that ends.
    for (const AttemptKey& key : keys)
        this->reservations.removeQueued(key);
    for (const AttemptKey& key : keys)
        this->release(key);
    checkInvariant(this->keysOf(session.epoch).empty(), Invariant::NoMemoryHeldForGoneRequest,
        "an ended session still holds reservations or prefills");
}

std::vector<AttemptKey> ModelHost::Impl::keysOf(SessionEpoch epoch) const
{
    std::vector<AttemptKey> keys = this->reservations.keysOf(epoch);
    std::vector<AttemptKey> prefillKeys = this->prefills.keysOf(epoch);
    keys.insert(keys.end(), prefillKeys.begin(), prefillKeys.end());
    return keys;
}

void ModelHost::Impl::release(const AttemptKey& key)
{
    bool wasQueued = this->reservations.isQueued(key);
    if (auto reservation = this->reservations.remove(key); reservation && !wasQueued) {
        this->record(EventKind::PlaceReleased, key.attempt, this->settings.agent.raw());
        if (reservation->isDecoding())
            this->cancelStream(reservation->stream);
        else
            this->capacity.release(reservation->resources);
    }
    if (auto job = this->prefills.remove(key); job && job->state != PrefillState::Queued)
        this->cancelStream(job->stream);
    this->grantQueued();
    this->startQueuedPrefills();
}

} // namespace peridotgrade
