// The model host's reservations: requests, grants, and the start of decoding.
#include "model_host_impl.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>
#include <utility>

namespace peridotgrade {

void ModelHost::Impl::handle(HostSession& session, const ReservationRequest& message)
{
    if (!this->acceptEpoch(session, message.epoch))
        return;
    DecodeReservation requested = this->makeReservation(session, message);
    // A duplicate request has no effect.
    if (this->reservations.findGranted(requested.key) || this->reservations.isQueued(requested.key))
        return;
    if (auto reason = this->reasonToRefuse(message, requested.resources)) {
        this->refuse(requested, *reason);
        return;
    }
    if (this->reservations.queued() == 0 && this->canGrantNow(requested)) {
        this->grant(std::move(requested));
        return;
    }
    AttemptKey key = requested.key;
    this->reservations.enqueue(std::move(requested));
    this->grantQueued();
    if (this->reservations.isQueued(key))
        this->timers.subscribeAfter(message.maxQueueTime, [this, key] { this->onQueueTimeout(key); });
}

DecodeReservation ModelHost::Impl::makeReservation(
    const HostSession& session, const ReservationRequest& message) const
{
    DecodeReservation reservation;
    reservation.key = AttemptKey { message.epoch, message.attempt };
    reservation.connection = session.connection;
    reservation.fingerprint = message.fingerprint;
    reservation.priority = message.priority;
    reservation.isSuspect = message.isSuspect;
    std::uint64_t tokens = std::uint64_t { message.promptTokens } + message.maxOutputTokens;
    reservation.resources = EngineResources { 1, this->capacity.piecesFor(tokens) };
    return reservation;
}

std::optional<ReservationRefusalReason> ModelHost::Impl::reasonToRefuse(
    const ReservationRequest& message, const EngineResources& wanted) const
{
    if (this->isDraining)
        return ReservationRefusalReason::Draining;
    if (!this->isReady())
        return ReservationRefusalReason::EngineDown;
    if (!this->servesModel(message.model))
        return ReservationRefusalReason::ModelNotLoaded;
    if (!this->capacity.couldEverFit(wanted))
        return ReservationRefusalReason::TooLarge;
    return std::nullopt;
}

bool ModelHost::Impl::servesModel(const ModelId& model) const
{
    const std::vector<ModelId>& models = this->engine.models;
    return std::find(models.begin(), models.end(), model) != models.end();
}

bool ModelHost::Impl::hasOtherSuspect(const AttemptKey& own) const
{
    return this->reservations.hasOtherSuspect(own) || this->prefills.hasOtherSuspect(own)
        || this->streams.hasOtherSuspect(own);
}

bool ModelHost::Impl::canGrantNow(const DecodeReservation& requested) const
{
    if (requested.isSuspect && this->hasOtherSuspect(requested.key))
        return false;
    return this->capacity.fits(requested.resources);
}

void ModelHost::Impl::grant(DecodeReservation requested)
{
    checkInvariant(!this->isDraining, Invariant::NoNewWorkWhenLeaving, "reservation granted while draining");
    ++this->totals.granted;
    this->capacity.reserve(requested.resources);
    this->record(EventKind::PlaceGranted, requested.key.attempt, this->settings.agent.raw());
    ReservationGranted granted;
    granted.attempt = requested.key.attempt;
    granted.load = this->liveLoad();
    this->send(requested.connection, std::move(granted));
    this->reservations.addGranted(std::move(requested));
}

void ModelHost::Impl::refuse(const DecodeReservation& requested, ReservationRefusalReason reason)
{
    ++this->totals.refused;
    this->record(EventKind::PlaceRefused, requested.key.attempt, this->settings.agent.raw());
    ReservationRefused refused;
    refused.attempt = requested.key.attempt;
    refused.reason = reason;
    refused.expectedWait
        = this->drainRate.expectedWait(static_cast<std::uint32_t>(this->reservations.queued()));
    refused.load = this->liveLoad();
    this->send(requested.connection, std::move(refused));
}

void ModelHost::Impl::onQueueTimeout(const AttemptKey& key)
{
    auto requested = this->reservations.removeQueued(key);
    if (!requested)
        return;
    bool isBlockedBySuspect = requested->isSuspect && this->hasOtherSuspect(key);
    this->refuse(*requested,
        isBlockedBySuspect ? ReservationRefusalReason::SuspectPresent : ReservationRefusalReason::Full);
    // The expired request may have been too large for the free memory and blocked smaller ones behind it.
    this->grantQueued();
}

void ModelHost::Impl::grantQueued()
{
    if (!this->isReady() || this->isDraining)
        return;
    for (const DecodeReservation& requested : this->reservations.queuedInOrder()) {
        if (requested.isSuspect && this->hasOtherSuspect(requested.key))
            continue;
        // Later requests do not overtake; a large one would starve behind a stream of small ones.
        if (!this->capacity.fits(requested.resources))
            return;
        if (auto removed = this->reservations.removeQueued(requested.key))
            this->grant(std::move(*removed));
    }
}

void ModelHost::Impl::refuseAllQueued(ReservationRefusalReason reason)
{
    for (const DecodeReservation& requested : this->reservations.queuedInOrder()) {
        this->reservations.removeQueued(requested.key);
        this->refuse(requested, reason);
    }
}

void ModelHost::Impl::handle(HostSession& session, const StartDecode& message)
{
    if (!this->acceptEpoch(session, message.epoch))
        return;
    DecodeReservation* reservation
        = this->reservations.findGranted(AttemptKey { message.epoch, message.attempt });
    if (!reservation) {
        this->fail(session.connection, message.attempt, AttemptFailure::NoPlaceHeld);
        return;
    }
    if (!reservation->isDecoding())
        this->startDecode(*reservation, message);
}

void ModelHost::Impl::startDecode(DecodeReservation& reservation, const StartDecode& message)
{
    EngineStream stream;
    stream.kind = StreamKind::Decode;
    stream.owner = reservation.key;
    stream.fingerprint = reservation.fingerprint;
    stream.isSuspect = reservation.isSuspect;
    stream.resources = reservation.resources;
    reservation.stream = this->streams.add(std::move(stream));
    reservation.nextIndex = message.firstIndex;
    EngineDecode decode;
    decode.stream = reservation.stream;
    decode.model = message.model;
    decode.prompt = message.prompt;
    decode.firstIndex = message.firstIndex;
    decode.maxOutputTokens = message.maxOutputTokens;
    decode.priority = message.priority;
    decode.handle = message.handle;
    decode.exporter = message.exporter;
    // Half of the time left, so that a stalled transfer is aborted while there is time for one retry.
    decode.transferTimeout = message.timeLeft / 2;
    this->record(EventKind::DecodeStarted, reservation.key.attempt, this->settings.agent.raw());
    this->sendToEngine(std::move(decode));
}

} // namespace peridotgrade
