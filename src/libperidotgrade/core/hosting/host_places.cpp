// The model host's places: asks, grants and the start of decodes.
#include "model_host_impl.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>
#include <utility>

namespace peridotgrade {

void ModelHost::Impl::handle(HostSession& session, const ReservationRequest& message)
{
    if (!this->acceptEpoch(session, message.epoch))
        return;
    Place ask = this->makePlace(session, message);
    // A repeated ask changes nothing.
    if (this->places.findGranted(ask.key) || this->places.isQueued(ask.key))
        return;
    if (auto reason = this->reasonToRefuse(message, ask.reservation)) {
        this->refuse(ask, *reason);
        return;
    }
    if (this->places.queued() == 0 && this->canGrantNow(ask)) {
        this->grant(std::move(ask));
        return;
    }
    HoldKey key = ask.key;
    this->places.enqueue(std::move(ask));
    this->serveAsks();
    if (this->places.isQueued(key))
        this->timers.subscribeAfter(message.maxQueueTime, [this, key] { this->onAskTimeout(key); });
}

Place ModelHost::Impl::makePlace(const HostSession& session, const ReservationRequest& message) const
{
    Place place;
    place.key = HoldKey { message.epoch, message.attempt };
    place.connection = session.connection;
    place.fingerprint = message.fingerprint;
    place.priority = message.priority;
    place.isSuspect = message.isSuspect;
    std::uint64_t tokens = std::uint64_t { message.promptTokens } + message.maxOutputTokens;
    place.reservation = Reservation { 1, this->capacity.piecesFor(tokens) };
    return place;
}

std::optional<ReservationRefusalReason> ModelHost::Impl::reasonToRefuse(
    const ReservationRequest& message, const Reservation& wanted) const
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

bool ModelHost::Impl::hasOtherSuspect(const HoldKey& than) const
{
    return this->places.hasOtherSuspect(than) || this->prefills.hasOtherSuspect(than)
        || this->streams.hasOtherSuspect(than);
}

bool ModelHost::Impl::canGrantNow(const Place& ask) const
{
    if (ask.isSuspect && this->hasOtherSuspect(ask.key))
        return false;
    return this->capacity.fits(ask.reservation);
}

void ModelHost::Impl::grant(Place ask)
{
    checkInvariant(!this->isDraining, Invariant::NoNewWorkWhenLeaving, "place granted while draining");
    ++this->totals.granted;
    this->capacity.take(ask.reservation);
    this->record(EventKind::PlaceGranted, ask.key.attempt, this->settings.agent.raw());
    ReservationGranted granted;
    granted.attempt = ask.key.attempt;
    granted.load = this->liveLoad();
    this->send(ask.connection, std::move(granted));
    this->places.addGranted(std::move(ask));
}

void ModelHost::Impl::refuse(const Place& ask, ReservationRefusalReason reason)
{
    ++this->totals.refused;
    this->record(EventKind::PlaceRefused, ask.key.attempt, this->settings.agent.raw());
    ReservationRefused refused;
    refused.attempt = ask.key.attempt;
    refused.reason = reason;
    refused.expectedWait = this->drainRate.expectedWait(static_cast<std::uint32_t>(this->places.queued()));
    refused.load = this->liveLoad();
    this->send(ask.connection, std::move(refused));
}

void ModelHost::Impl::onAskTimeout(const HoldKey& key)
{
    auto ask = this->places.removeAsk(key);
    if (!ask)
        return;
    bool isBlockedBySuspect = ask->isSuspect && this->hasOtherSuspect(key);
    this->refuse(
        *ask, isBlockedBySuspect ? ReservationRefusalReason::SuspectPresent : ReservationRefusalReason::Full);
    // An ask that was too large for the memory left may have kept smaller ones waiting.
    this->serveAsks();
}

void ModelHost::Impl::serveAsks()
{
    if (!this->isReady() || this->isDraining)
        return;
    for (const Place& ask : this->places.queuedInOrder()) {
        if (ask.isSuspect && this->hasOtherSuspect(ask.key))
            continue;
        // Later asks do not overtake: a large one would starve behind a stream of small ones.
        if (!this->capacity.fits(ask.reservation))
            return;
        if (auto removed = this->places.removeAsk(ask.key))
            this->grant(std::move(*removed));
    }
}

void ModelHost::Impl::refuseAllAsks(ReservationRefusalReason reason)
{
    for (const Place& ask : this->places.queuedInOrder()) {
        this->places.removeAsk(ask.key);
        this->refuse(ask, reason);
    }
}

void ModelHost::Impl::handle(HostSession& session, const StartDecode& message)
{
    if (!this->acceptEpoch(session, message.epoch))
        return;
    Place* place = this->places.findGranted(HoldKey { message.epoch, message.attempt });
    if (!place) {
        this->fail(session.connection, message.attempt, AttemptFailure::NoPlaceHeld);
        return;
    }
    if (!place->isDecoding())
        this->startDecode(*place, message);
}

void ModelHost::Impl::startDecode(Place& place, const StartDecode& message)
{
    EngineStream stream;
    stream.kind = StreamKind::Decode;
    stream.owner = place.key;
    stream.fingerprint = place.fingerprint;
    stream.isSuspect = place.isSuspect;
    stream.reservation = place.reservation;
    place.stream = this->streams.add(std::move(stream));
    place.nextIndex = message.firstIndex;
    EngineDecode decode;
    decode.stream = place.stream;
    decode.model = message.model;
    decode.prompt = message.prompt;
    decode.firstIndex = message.firstIndex;
    decode.maxOutputTokens = message.maxOutputTokens;
    decode.priority = message.priority;
    decode.handle = message.handle;
    decode.exporter = message.exporter;
    // Half of what is left: a stalled transfer is given up while there is time for one more try.
    decode.transferTimeout = message.timeLeft / 2;
    this->record(EventKind::DecodeStarted, place.key.attempt, this->settings.agent.raw());
    this->tellEngine(std::move(decode));
}

} // namespace peridotgrade
