// Rounds of a generation: reservations, runs and their retries.
#include "peridotgrade/gateway/generation_call.h"

#include "peridotgrade/core/serving/retry_after.h"
#include "peridotgrade/gateway/final_answer.h"

#include <algorithm>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {
    // Rounds of reservation, prefill and stream of one request.
    constexpr std::uint32_t MaxRounds = 3;
    // Why a resumable stream is not begun while all engines are of versions that have just been listed.
    constexpr std::string_view VersionNotRecorded = "version_not_recorded";
} // namespace

GenerationCall::GenerationCall(GatewayState& state, RequestContext& context, const EngineSpec& engine,
    std::shared_ptr<ReservationBroker> broker, StreamOriginLog& originLog)
    : state(state)
    , context(context)
    , engine(engine)
    , broker(std::move(broker))
    , originLog(originLog)
    , framer(context.route.isResumable ? EventFramer::EventIds::Growing : EventFramer::EventIds::Any,
          context.request.lastEvent)
    , version(context.version)
    , isOriginShown(context.version.has_value())
    , retryAccounting(state.retryBudgetOf(context.service), this->urgency())
{
}

bool GenerationCall::canResume() const
{
    if (!this->context.route.isResumable || this->runs >= this->context.route.maxAttempts)
        return false;
    return !this->hasBegun || (this->framer.lastId() && this->isOriginShown);
}

asio::awaitable<void> GenerationCall::serve()
{
    this->state.retryBudgetOf(this->context.service).recordRequest(this->state.now(), this->urgency());
    co_await this->state.tryProbation(this->context.request);
    if (this->state.isHeld(this->context.request)) {
        co_await answerQuarantined(this->state, this->context);
        co_return;
    }
    Next next = Next::Retry;
    do {
        ++this->rounds;
        next = co_await this->attempt();
    } while (next == Next::Retry && this->canContinue());
    if (next != Next::Done)
        co_await this->giveUp();
}

bool GenerationCall::canContinue()
{
    if (this->context.cancellation.isCancelled())
        return false;
    std::string_view limit;
    if (this->rounds >= MaxRounds)
        limit = "rounds";
    else if (this->runs > 0 && !this->canResume())
        limit = this->context.route.isResumable ? "attempts" : "not_resumable";
    else if (this->state.now() + TimeToFirstEvent >= this->firstEventDue())
        limit = "time";
    else if (this->state.isHeld(this->context.request))
        limit = "quarantined";
    else if (this->hasReachedServer() && !this->state.crashes.mayRepeat(this->context.request.suspects()))
        limit = "suspect";
    else if (!this->hasRoundBudget() || !this->takeRunBudget())
        limit = "retry_budget";
    if (limit.empty())
        return true;
    this->noteNoRetry(limit);
    return false;
}

void GenerationCall::noteNoRetry(std::string_view limit)
{
    TimePoint now = this->state.now();
    auto budget
        = static_cast<int>(this->state.retryBudgetOf(this->context.service).left(now, this->urgency()));
    this->context.trace.addFailure(now, "retry_refused",
        { { "limit", std::string { limit } }, { "rounds", std::to_string(this->rounds) },
            { "runs", std::to_string(this->runs) },
            { "prefills", std::to_string(this->retryAccounting.prefillsReached()) },
            { "left_ms", millisecondsText(timeLeft(this->state, this->context)) },
            { "budget", std::to_string(budget) } });
}

asio::awaitable<void> GenerationCall::giveUp()
{
    if (this->unusedCache)
        this->freeInBackground(*this->unusedCache);
    if (this->context.cancellation.isCancelled()) {
        if (!this->hasReachedServer())
            this->context.quota.refund();
        noteCallerDisconnected(this->state, this->context, this->failure);
        co_return;
    }
    if (this->hasBegun) {
        abortStream(this->state, this->context, this->failure, this->lastServer, this->lastDetail);
        co_return;
    }
    if (this->runs == 0 && this->state.isHeld(this->context.request)) {
        co_await answerQuarantined(this->state, this->context);
        co_return;
    }
    if (this->runs == 0) {
        co_await this->reject(this->failure);
        co_return;
    }
    bool isLate = timeLeft(this->state, this->context).count() == 0;
    co_await answerFailed(
        this->state, this->context, isLate ? 504 : 502, this->failure, this->lastServer, this->lastDetail);
}

asio::awaitable<void> GenerationCall::reject(std::string_view reason)
{
    auto retryAfter = chooseRetryAfter(timeLeft(this->state, this->context), this->state.random);
    for (ServerRole role : { ServerRole::Decode, ServerRole::Prefill })
        retryAfter = notBefore(
            this->state.now(), this->state.allClosedUntil(this->context.service, role), retryAfter);
    if (reason == VersionNotRecorded)
        retryAfter = notBefore(
            this->state.now(), this->state.versions[this->context.service].nextSettledAt(), retryAfter);
    co_await answerNotRun(this->state, this->context, reason, retryAfter, this->lastServer);
}

asio::awaitable<GenerationCall::Next> GenerationCall::attempt()
{
    TimePoint began = this->state.now();
    if (auto closed = this->closedRole()) {
        this->failure = this->state.closedReason(this->context.service, *closed);
        this->context.trace.addFailure(
            began, "rejected_early", { { "reason", std::string { this->failure } } });
        co_return Next::GiveUp;
    }
    this->failure = "no_capacity";
    auto candidates = this->decodeEngines();
    bool isVersionMissing = candidates.empty()
        && !this->state.healthyServers(this->context.service, ServerRole::Decode).empty();
    if (candidates.empty() && (this->version || isVersionMissing)) {
        this->failure = this->version ? "no_server_of_version" : VersionNotRecorded;
        this->context.trace.addFailure(began, "rejected_early",
            { { "reason", std::string { this->failure } },
                { "version", this->version ? this->version->raw() : "" },
                { "versions", this->state.versions[this->context.service].text(began) } });
        co_return Next::GiveUp;
    }
    this->context.trace.add(began, "reservation_asked",
        { { "round", std::to_string(this->rounds) }, { "tokens", std::to_string(this->tokensNeeded()) },
            { "expected_output", std::to_string(this->cost().outputTokens) },
            { "due_ms", millisecondsText(this->reservationDue() - began) },
            { "candidates", std::to_string(candidates.size()) },
            { "waiting", std::to_string(this->broker->waitingRequests()) },
            { "list_age_ms", millisecondsText(began - this->state.serversReadAt) } });
    auto reservation = co_await this->broker->acquire(
        this->context.trace, this->waitingRequest(), this->context.cancellation);
    if (this->context.cancellation.isCancelled()) {
        if (reservation)
            this->broker->cancel(*reservation);
        co_return Next::Retry;
    }
    if (!reservation) {
        this->context.trace.addFailure(this->state.now(), "reservation_missed",
            { { "waited_ms", millisecondsText(this->state.now() - began) },
                { "waiting", std::to_string(this->broker->waitingRequests()) } });
        // The request has waited as long as is useful; another round would meet the same engines.
        co_return Next::GiveUp;
    }
    this->reservedAt = this->state.now();
    this->reservationWait = this->reservedAt - began;
    this->state.metrics.addReservationWait(this->reservationWait);
    this->lastServer = reservation->engine->record().id.raw();
    this->context.trace.add(this->state.now(), "reservation_granted",
        { { "server", this->lastServer }, { "waited_ms", millisecondsText(this->reservationWait) },
            { "pace", this->state.notePace(reservation->engine->record().id) } });
    this->failure = "no_prefill";
    auto kvCache = this->takeUnusedCache();
    if (!kvCache)
        kvCache = co_await this->prefill(*reservation);
    if (!kvCache) {
        this->broker->cancel(*reservation);
        co_return Next::Retry;
    }
    if (this->context.cancellation.isCancelled()) {
        this->broker->cancel(*reservation);
        this->freeInBackground(*kvCache);
        co_return Next::Retry;
    }
    co_return co_await this->stream(*reservation, std::move(*kvCache));
}

std::vector<const ServerRecord*> GenerationCall::decodeEngines()
{
    auto engines = this->state.healthyServers(this->context.service, ServerRole::Decode);
    std::erase_if(
        engines, [this](const ServerRecord* each) { return !this->mayServe(each->softwareVersion); });
    return engines;
}

bool GenerationCall::mayServe(const SoftwareVersion& candidate)
{
    if (this->version)
        return candidate == *this->version;
    return !this->context.route.isResumable
        || this->state.versions[this->context.service].isRecorded(candidate);
}

std::optional<ServerRole> GenerationCall::closedRole() const
{
    TimePoint due = this->reservationDue();
    for (ServerRole role : { ServerRole::Decode, ServerRole::Prefill }) {
        auto until = this->state.allClosedUntil(this->context.service, role);
        if (until && *until > due)
            return role;
    }
    return std::nullopt;
}

bool GenerationCall::takeRunBudget()
{
    bool isRetry = this->retryAccounting.isNextRunRetry();
    if (!this->retryAccounting.tryRun(this->state.spendTime()))
        return false;
    if (isRetry)
        this->state.metrics.countRetry(this->context.service.raw());
    return true;
}

std::string_view GenerationCall::reasonNotToRunAt(const ServerRecord& engine)
{
    if (this->state.health.isReplaced(engine.id, this->state.now()))
        return "the engine has been replaced";
    if (this->state.isBackingOff(engine))
        return "the engine asked for a backoff";
    const ServerRecord* listed = this->state.directory.find(engine.id);
    if (listed == nullptr || listed->startedAt != engine.startedAt)
        return "the engine leaves";
    if (!this->mayServe(engine.softwareVersion))
        return "the version of the engine is not on record";
    return {};
}

asio::awaitable<GenerationCall::Next> GenerationCall::stream(
    const EngineReservation& reservation, KvLocation kvCache)
{
    const ServerId server = reservation.engine->record().id;
    std::string_view reason = this->reasonNotToRunAt(reservation.engine->record());
    if (!reason.empty()) {
        this->noteFailedHandOver(server, kvCache, std::string { reason });
        this->broker->cancel(reservation);
        this->unusedCache = std::move(kvCache);
        co_return Next::Retry;
    }
    if (this->state.isHeld(this->context.request)) {
        // Another attempt of the caller crashed a server while this one waited.
        this->failure = "quarantined";
        this->broker->cancel(reservation);
        this->unusedCache = std::move(kvCache);
        co_return Next::GiveUp;
    }
    RunOptions options;
    options.timeLeft = timeLeft(this->state, this->context);
    options.kvCache = kvCache;
    options.reservation = reservation.id;
    if (this->hasBegun)
        options.lastEvent = this->framer.lastId();
    this->failure = "server_lost";
    TimePoint began = this->state.now();
    this->context.trace.add(began, "run_sent",
        { { "server", server.raw() }, { "version", reservation.engine->record().softwareVersion.raw() },
            { "stream_version", this->version ? this->version->raw() : "" },
            { "prefill_server", kvCache.engineAddress },
            { "cache_left_ms", millisecondsText(this->cacheUsableUntil - began) },
            { "after_event", options.lastEvent ? std::to_string(*options.lastEvent) : "" } });
    options.callReserve = reservation.runReserve;
    this->progressAt = began;
    auto result = co_await reservation.engine->run(
        this->context.request, options, this->readTimeout(), this->context.cancellation);
    if (auto* failed = std::get_if<CallFailure>(&result)) {
        this->lastDetail = failed->detail;
        if (failed->mayHaveRun) {
            ++this->runs;
            this->retryAccounting.noteRunReached();
        }
        this->broker->cancel(reservation);
        if (!this->context.cancellation.isCancelled())
            this->state.noteFailure(server, *failed);
        if (failed->isConnectionRefused)
            this->unusedCache = std::move(kvCache);
        else
            this->freeInBackground(kvCache);
        this->context.trace.addFailure(this->state.now(), "attempt_failed",
            { { "server", server.raw() }, { "may_have_run", failed->mayHaveRun ? "true" : "false" },
                { "lost", failed->isConnectionLost ? "true" : "false" },
                { "took_ms", millisecondsText(this->state.now() - began) }, { "detail", failed->detail } });
        bool isCancelled = this->context.cancellation.isCancelled();
        if (failed->isConnectionLost && !isCancelled)
            co_await this->state.noteLostRun(server, this->context.request);
        else if (failed->mayHaveRun && !isCancelled)
            this->state.noteSilentRun(server, this->context.request);
        co_return Next::Retry;
    }
    this->retryAccounting.noteRunReached();
    auto answer = std::move(std::get<std::unique_ptr<ServerAnswer>>(result));
    if (answer->head().isNotRun) {
        std::uint16_t status = answer->head().response.status;
        this->noteFailedHandOver(server, kvCache, "rejected with status " + std::to_string(status));
        bool isMisdirected = answer->head().isMisdirected;
        answer->abort();
        this->broker->cancel(reservation);
        if (isMisdirected) {
            // The server never requested the KV cache, so another engine can still fetch it.
            this->state.health.record(server, ServerCallResult::Superseded, this->state.now());
            this->unusedCache = std::move(kvCache);
        } else {
            this->state.reservedLoad.noteUnusable(server, this->state.now());
            this->checkRoleInBackground(reservation.engine, ServerRole::Decode);
            this->freeInBackground(kvCache);
        }
        co_return Next::Retry;
    }
    this->state.reservedLoad.noteServed(server);
    ++this->runs;
    this->runVersion = reservation.engine->record().softwareVersion;
    Next next = co_await this->forward(*answer, reservation.engine);
    answer->abort();
    if (next == Next::Done)
        this->state.demandOf(this->context.service)
            .recordRun(this->engine,
                { reservation.tokens, this->framer.events(), this->bodyEndedAt - began,
                    this->reservationWait });
    this->broker->release(reservation);
    co_return next;
}

void GenerationCall::noteFailedHandOver(const ServerId& server, const KvLocation& kvCache, std::string detail)
{
    this->failure = "hand_over_failed";
    this->lastDetail = std::move(detail);
    this->context.trace.addFailure(this->state.now(), "hand_over_failed",
        { { "server", server.raw() }, { "prefill_server", kvCache.engineAddress },
            { "detail", this->lastDetail } });
}

} // namespace peridotgrade
