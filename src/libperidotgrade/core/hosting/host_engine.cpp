// The model host's engine events: streams, cancellations, listings, crashes.
#include "model_host_impl.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>
#include <utility>

namespace peridotgrade {

void ModelHost::Impl::onEngineEvent(const EngineEvent& event)
{
    std::visit([this](const auto& typed) { this->handle(typed); }, event);
}

void ModelHost::Impl::handle(const EngineTokens& event)
{
    EngineStream* stream = this->streams.find(event.stream);
    if (!stream || !stream->owner) {
        this->record(EventKind::StaleMessageDropped, AttemptId {}, this->settings.agent.raw(), "tokens");
        return;
    }
    stream->hasAnswered = true;
    DecodeReservation* reservation = this->reservations.findGranted(*stream->owner);
    checkInvariant(
        reservation != nullptr, Invariant::InternalConsistency, "a stream's owner holds no reservation");
    if (!reservation)
        return;
    if (event.firstIndex != reservation->nextIndex) {
        this->fail(reservation->connection, reservation->key.attempt, AttemptFailure::EngineError);
        this->release(AttemptKey { reservation->key });
        return;
    }
    reservation->nextIndex += static_cast<std::uint32_t>(event.pieces.size());
    TokenFrame frame;
    frame.attempt = reservation->key.attempt;
    frame.firstIndex = event.firstIndex;
    frame.pieces = event.pieces;
    frame.isLast = event.isLast;
    frame.finishReason = event.finishReason;
    this->send(reservation->connection, std::move(frame));
    if (!event.isLast)
        return;
    this->reservations.remove(AttemptKey { reservation->key });
    this->forgetStream(event.stream);
}

void ModelHost::Impl::handle(const EngineStreamFailed& event)
{
    EngineStream* stream = this->streams.find(event.stream);
    if (!stream)
        return;
    if (stream->owner) {
        AttemptKey key = *stream->owner;
        ConnectionId connection;
        if (auto reservation
            = stream->kind == StreamKind::Decode ? this->reservations.remove(key) : std::nullopt)
            connection = reservation->connection;
        else if (auto job = this->prefills.remove(key))
            connection = job->connection;
        this->fail(connection, key.attempt, event.reason);
    }
    this->forgetStream(event.stream);
}

void ModelHost::Impl::handle(const EngineCancelled& event)
{
    EngineStream* stream = this->streams.find(event.stream);
    // Ids are never reused, so a stream with an owner cannot receive a late confirmation.
    if (!stream || stream->owner)
        return;
    bool mayStillStart = !stream->hasAnswered;
    this->forgetStream(event.stream);
    // The cancellation may have overtaken the start command, which leaves an orphan at the engine.
    if (mayStillStart)
        this->timers.subscribeAfter(this->settings.cancelRetryInterval, [this] { this->listIfUp(); });
}

void ModelHost::Impl::forgetStream(const EngineStreamId& id)
{
    auto stream = this->streams.remove(id);
    if (!stream)
        return;
    this->capacity.release(stream->resources);
    if (stream->resources.batchSlots > 0)
        this->drainRate.recordFreed(this->timers.now());
    this->becomeReadyIfReconciled();
    this->grantQueued();
    this->startQueuedPrefills();
}

void ModelHost::Impl::cancelStream(const EngineStreamId& id)
{
    EngineStream* stream = this->streams.find(id);
    if (!stream)
        return;
    stream->owner.reset();
    this->sendToEngine(EngineCancel { id });
    this->armCancelTimer();
}

void ModelHost::Impl::armCancelTimer()
{
    if (this->hasCancelTimer)
        return;
    this->hasCancelTimer = true;
    this->timers.subscribeAfter(this->settings.cancelRetryInterval, [this] { this->onCancelTimer(); });
}

void ModelHost::Impl::onCancelTimer()
{
    this->hasCancelTimer = false;
    std::vector<EngineStreamId> unconfirmed = this->streams.unowned();
    if (unconfirmed.empty())
        return;
    for (const EngineStreamId& id : unconfirmed)
        this->sendToEngine(EngineCancel { id });
    this->armCancelTimer();
}

void ModelHost::Impl::requestListing()
{
    std::uint64_t request = ++this->listingsRequested;
    this->isListingPending = true;
    this->sendToEngine(EngineList {});
    this->timers.subscribeAfter(
        this->settings.cancelRetryInterval, [this, request] { this->onListingTimeout(request); });
}

void ModelHost::Impl::onListingTimeout(std::uint64_t request)
{
    bool isStillPending = this->isListingPending && request == this->listingsRequested;
    if (isStillPending && this->condition != EngineCondition::Down)
        this->requestListing();
}

void ModelHost::Impl::onListTimer()
{
    this->timers.subscribeAfter(this->settings.listInterval, [this] { this->onListTimer(); });
    this->listIfUp();
}

void ModelHost::Impl::listIfUp()
{
    if (this->condition != EngineCondition::Down && !this->isListingPending)
        this->requestListing();
}

void ModelHost::Impl::handle(const EngineListing& event)
{
    this->isListingPending = false;
    for (const EngineStreamId& id : event.streams) {
        if (this->streams.find(id))
            continue;
        ++this->totals.orphansFreed;
        this->record(EventKind::OrphanFreed, AttemptId {}, this->settings.agent.raw(), id.raw());
        this->streams.addOrphan(id);
        this->cancelStream(id);
    }
    this->becomeReadyIfReconciled();
}

void ModelHost::Impl::becomeReadyIfReconciled()
{
    bool isReconciled = this->condition == EngineCondition::Reconciling && !this->isListingPending;
    if (!isReconciled || !this->streams.isEmpty())
        return;
    this->condition = EngineCondition::Ready;
}

void ModelHost::Impl::handle(const EngineUp& event)
{
    bool isSameIncarnation
        = this->condition != EngineCondition::Down && event.incarnation == this->engine.incarnation;
    if (!isSameIncarnation)
        this->onEngineLost();
    this->engine = event;
    this->capacity.setTotals(event.placesTotal, event.kvTokensTotal, event.kvTokensPerPiece);
    if (isSameIncarnation) {
        this->grantQueued();
        return;
    }
    this->record(EventKind::EngineRestarted, AttemptId {}, this->settings.agent.raw());
    this->condition = EngineCondition::Reconciling;
    this->requestListing();
}

void ModelHost::Impl::handle(const EngineDied&) { this->onEngineLost(); }

void ModelHost::Impl::onEngineLost()
{
    if (this->condition == EngineCondition::Down)
        return;
    this->condition = EngineCondition::Down;
    ++this->totals.engineCrashes;
    this->record(EventKind::EngineCrashed, AttemptId {}, this->settings.agent.raw());
    EngineCrashed crashed;
    crashed.engine = this->engine.incarnation;
    for (const EngineStream& stream : this->streams.removeAll()) {
        if (stream.isRunning)
            crashed.running.push_back(stream.fingerprint);
    }
    // The crash report goes out before the failures, so that no entry retries a suspect request as an
    // ordinary one.
    for (const auto& [connection, session] : this->sessions) {
        if (session.isLive)
            this->send(connection, crashed);
    }
    if (!crashed.running.empty())
        this->crashReports.add(crashed, this->timers.now());
    this->refuseAllQueued(ReservationRefusalReason::EngineDown);
    for (const AttemptKey& key : this->reservations.grantedKeys()) {
        if (auto reservation = this->reservations.remove(key))
            this->fail(reservation->connection, key.attempt, AttemptFailure::EngineDied);
    }
    for (const AttemptKey& key : this->prefills.keys())
        this->failPrefill(key, AttemptFailure::EngineDied);
    this->capacity.clear();
}

void ModelHost::Impl::fail(ConnectionId connection, const AttemptId& attempt, AttemptFailure reason)
{
    AttemptFailed failed;
    failed.attempt = attempt;
    failed.reason = reason;
    failed.load = this->liveLoad();
    this->record(EventKind::AttemptFailed, attempt, this->settings.agent.raw(), std::string(nameOf(reason)));
    this->send(connection, std::move(failed));
}

} // namespace peridotgrade
