// The model host's prefills: scheduling, due times, and results retained for export.
#include "model_host_impl.h"

#include <utility>

namespace peridotgrade {

void ModelHost::Impl::handle(HostSession& session, const StartPrefill& message)
{
    if (!this->acceptEpoch(session, message.epoch))
        return;
    PrefillJob job = this->makePrefill(session, message);
    // A duplicate message has no effect.
    if (this->prefills.find(job.key))
        return;
    if (auto reason = this->reasonToFail(job)) {
        this->fail(session.connection, message.attempt, *reason);
        return;
    }
    this->prefills.add(std::move(job));
    this->startQueuedPrefills();
}

PrefillJob ModelHost::Impl::makePrefill(const HostSession& session, const StartPrefill& message) const
{
    PrefillJob job;
    job.key = AttemptKey { message.epoch, message.attempt };
    job.connection = session.connection;
    job.request = message;
    job.resources = EngineResources { 0, this->capacity.piecesFor(message.promptTokens) };
    job.due = this->timers.now() + message.timeLeft;
    if (this->engine.prefillTokensPerSecond > 0) {
        std::chrono::duration<double> cost { message.promptTokens / this->engine.prefillTokensPerSecond };
        job.cost = std::chrono::duration_cast<Duration>(cost);
    }
    return job;
}

std::optional<AttemptFailure> ModelHost::Impl::reasonToFail(const PrefillJob& job) const
{
    if (this->isDraining)
        return AttemptFailure::Draining;
    if (!this->isReady() || !this->servesModel(job.request.model))
        return AttemptFailure::EngineError;
    if (!this->capacity.couldEverFit(job.resources))
        return AttemptFailure::EngineError;
    if (job.request.isSuspect && this->hasOtherSuspect(job.key))
        return AttemptFailure::SuspectPresent;
    TimePoint now = this->timers.now();
    if (now + this->prefills.waitBefore(job, now) > job.latestStart())
        return AttemptFailure::TooLate;
    return std::nullopt;
}

void ModelHost::Impl::startQueuedPrefills()
{
    if (!this->isReady())
        return;
    while (this->streams.running(StreamKind::Prefill) < this->settings.prefillsAtOnce) {
        const PrefillJob* next = this->prefills.next();
        if (!next)
            return;
        if (next->latestStart() < this->timers.now()) {
            this->failPrefill(next->key, AttemptFailure::TooLate);
            continue;
        }
        if (!this->capacity.fits(next->resources))
            return;
        this->startPrefill(*this->prefills.find(next->key));
    }
}

void ModelHost::Impl::startPrefill(PrefillJob& job)
{
    this->capacity.reserve(job.resources);
    EngineStream stream;
    stream.kind = StreamKind::Prefill;
    stream.owner = job.key;
    stream.fingerprint = job.request.fingerprint;
    stream.isSuspect = job.request.isSuspect;
    stream.resources = job.resources;
    job.stream = this->streams.add(std::move(stream));
    job.state = PrefillState::Running;
    job.startedAt = this->timers.now();
    EnginePrefill prefill;
    prefill.stream = job.stream;
    prefill.model = job.request.model;
    prefill.prompt = job.request.prompt;
    prefill.priority = job.request.priority;
    this->record(EventKind::PrefillStarted, job.key.attempt, this->settings.agent.raw());
    this->sendToEngine(std::move(prefill));
}

void ModelHost::Impl::failPrefill(const AttemptKey& key, AttemptFailure reason)
{
    // `key` may alias the key inside the queue's job and is invalid once the job is removed.
    auto job = this->prefills.remove(key);
    if (job)
        this->fail(job->connection, job->key.attempt, reason);
}

void ModelHost::Impl::handle(const EnginePrefillDone& event)
{
    EngineStream* stream = this->streams.find(event.stream);
    if (!stream || !stream->owner) {
        this->record(EventKind::StaleMessageDropped, AttemptId {}, this->settings.agent.raw(), "prefill");
        return;
    }
    stream->isRunning = false;
    stream->hasAnswered = true;
    PrefillJob* job = this->prefills.find(*stream->owner);
    if (!job)
        return;
    job->state = PrefillState::Kept;
    PrefillFinished finished;
    finished.attempt = job->key.attempt;
    finished.handle = event.handle;
    finished.exporter = event.exporter;
    finished.kvBytes = event.kvBytes;
    finished.cachedTokens = event.cachedTokens;
    finished.keptFor = event.keptFor;
    finished.load = this->liveLoad();
    this->record(EventKind::PrefillFinished, job->key.attempt, this->settings.agent.raw());
    this->send(job->connection, std::move(finished));
    // The engine evicts the result by itself. The cancellation afterwards makes sure of that and releases the
    // accounted resources.
    this->timers.subscribeAfter(event.keptFor, [this, id = event.stream] { this->onResultTimeout(id); });
    this->startQueuedPrefills();
}

void ModelHost::Impl::onResultTimeout(const EngineStreamId& id)
{
    EngineStream* stream = this->streams.find(id);
    if (!stream || !stream->owner)
        return;
    this->prefills.remove(*stream->owner);
    this->cancelStream(id);
}

} // namespace peridotgrade
