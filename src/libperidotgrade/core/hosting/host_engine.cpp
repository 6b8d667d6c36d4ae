// The model host's dealings with its engine: streams, cancellations, listings, crashes.
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
    Place* place = this->places.findGranted(*stream->owner);
    checkInvariant(place != nullptr, Invariant::InternalConsistency, "a stream's owner holds no place");
    if (!place)
        return;
    if (event.firstIndex != place->nextIndex) {
        this->fail(place->connection, place->key.attempt, AttemptFailure::EngineError);
        this->release(HoldKey { place->key });
        return;
    }
    place->nextIndex += static_cast<std::uint32_t>(event.pieces.size());
    TokenFrame frame;
    frame.attempt = place->key.attempt;
    frame.firstIndex = event.firstIndex;
    frame.pieces = event.pieces;
    frame.isLast = event.isLast;
    frame.finishReason = event.finishReason;
    this->send(place->connection, std::move(frame));
    if (!event.isLast)
        return;
    this->places.remove(HoldKey { place->key });
    this->forgetStream(event.stream);
}

void ModelHost::Impl::handle(const EngineStreamFailed& event)
{
    EngineStream* stream = this->streams.find(event.stream);
    if (!stream)
        return;
    if (stream->owner) {
        HoldKey key = *stream->owner;
        ConnectionId connection;
        if (auto place = stream->kind == StreamKind::Decode ? this->places.remove(key) : std::nullopt)
            connection = place->connection;
        else if (auto job = this->prefills.remove(key))
            connection = job->connection;
        this->fail(connection, key.attempt, event.reason);
    }
    this->forgetStream(event.stream);
}

void ModelHost::Impl::handle(const EngineCancelled& event)
{
    EngineStream* stream = this->streams.find(event.stream);
    // A late confirmation of a stream that is owned can't be: ids are never used twice.
    if (!stream || stream->owner)
        return;
    bool mayStillStart = !stream->hasAnswered;
    this->forgetStream(event.stream);
    // The cancellation may have overtaken the start; then the engine holds memory that nobody owns.
    if (mayStillStart)
        this->timers.subscribeAfter(this->settings.cancelRetry, [this] { this->listIfUp(); });
}

void ModelHost::Impl::forgetStream(const EngineStreamId& id)
{
    auto stream = this->streams.remove(id);
    if (!stream)
        return;
    this->capacity.giveBack(stream->reservation);
    if (stream->reservation.places > 0)
        this->drainRate.recordFreed(this->timers.now());
    this->becomeReadyIfReconciled();
    this->serveAsks();
    this->serveSomePrefills();
}

void ModelHost::Impl::cancelStream(const EngineStreamId& id)
{
    EngineStream* stream = this->streams.find(id);
    if (!stream)
        return;
    stream->owner.reset();
    this->tellEngine(EngineCancel { id });
    this->armCancelTimer();
}

void ModelHost::Impl::armCancelTimer()
{
    if (this->hasCancelTimer)
        return;
    this->hasCancelTimer = true;
    this->timers.subscribeAfter(this->settings.cancelRetry, [this] { this->onCancelTimer(); });
}

void ModelHost::Impl::onCancelTimer()
{
    this->hasCancelTimer = false;
    std::vector<EngineStreamId> unconfirmed = this->streams.unowned();
    if (unconfirmed.empty())
        return;
    for (const EngineStreamId& id : unconfirmed)
        this->tellEngine(EngineCancel { id });
    this->armCancelTimer();
}

void ModelHost::Impl::requestListing()
{
    std::uint64_t request = ++this->listingsAsked;
    this->isListingAwaited = true;
    this->tellEngine(EngineList {});
    this->timers.subscribeAfter(
        this->settings.cancelRetry, [this, request] { this->onListingTimeout(request); });
}

void ModelHost::Impl::onListingTimeout(std::uint64_t request)
{
    bool isStillAwaited = this->isListingAwaited && request == this->listingsAsked;
    if (isStillAwaited && this->condition != EngineCondition::Down)
        this->requestListing();
}

void ModelHost::Impl::onListTimer()
{
    this->timers.subscribeAfter(this->settings.listInterval, [this] { this->onListTimer(); });
    this->listIfUp();
}

void ModelHost::Impl::listIfUp()
{
    if (this->condition != EngineCondition::Down && !this->isListingAwaited)
        this->requestListing();
}

void ModelHost::Impl::handle(const EngineListing& event)
{
    this->isListingAwaited = false;
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
    bool isReconciled = this->condition == EngineCondition::Reconciling && !this->isListingAwaited;
    if (!isReconciled || !this->streams.isEmpty())
        return;
    this->condition = EngineCondition::Ready;
}

void ModelHost::Impl::handle(const EngineUp& event)
{
    bool isSameRun
        = this->condition != EngineCondition::Down && event.incarnation == this->engine.incarnation;
    if (!isSameRun)
        this->onEngineLost();
    this->engine = event;
    this->capacity.setTotals(event.placesTotal, event.kvTokensTotal, event.kvTokensPerPiece);
    if (isSameRun) {
        this->serveAsks();
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
    // First the suspects, then the failures, so that no entry places one again as if it were innocent.
    for (const auto& [connection, session] : this->sessions) {
        if (session.isLive)
            this->send(connection, crashed);
    }
    if (!crashed.running.empty())
        this->crashReports.add(crashed, this->timers.now());
    this->refuseAllAsks(ReservationRefusalReason::EngineDown);
    for (const HoldKey& key : this->places.grantedKeys()) {
        if (auto place = this->places.remove(key))
            this->fail(place->connection, key.attempt, AttemptFailure::EngineDied);
    }
    for (const HoldKey& key : this->prefills.keys())
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
