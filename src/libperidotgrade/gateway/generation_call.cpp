// Rounds of reservation, prefill and stream of a generation, with their retries.
#include "peridotgrade/gateway/generation_call.h"

#include "peridotgrade/core/serving/retry_after.h"
#include "peridotgrade/gateway/final_answer.h"
#include "peridotgrade/net/sleep.h"
#include "peridotgrade/net/whole_body.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {
    // Prefill, hand-over and the first event at a busy engine take about this long after a reservation is
    // granted.
    constexpr std::chrono::milliseconds TimeToFirstEvent { 300 };
    // Callers give up a stream without an event after four seconds at the earliest.
    constexpr std::chrono::milliseconds MaxSilence { 3300 };
    // A caller's first attempt has at least this share of the route's time.
    constexpr double FirstAttemptShare = 0.8;
    // A repeated round of one request gets a reservation quickly or not at all.
    constexpr std::chrono::milliseconds MinReservationWait { 250 };
    // Rounds of reservation, prefill and stream of one request.
    constexpr std::uint32_t MaxRounds = 3;
    constexpr std::uint32_t MaxPrefills = 4;
    // Delay before prefill engines that were all full are tried again: about half a prefill.
    constexpr std::chrono::milliseconds PrefillRetryDelay { 40 };
    // Until the first prefills have been measured; then `EngineDemand::prefillTimeout` decides.
    constexpr std::chrono::milliseconds InitialPrefillTimeout { 1200 };
    // A stream is resumed at another engine after a silence of this many times its route's longest pause.
    constexpr int StallGapCount = 5;
    // Time from the choice of another engine until it has requested the KV cache: a reservation and a
    // request, with a round trip of some milliseconds each, and the engine's next step.
    constexpr std::chrono::milliseconds HandOverTime { 100 };
    // A report is answered within a round trip.
    constexpr std::chrono::milliseconds ReportTimeout { 500 };
    constexpr std::uint16_t Success = 200;
} // namespace

GenerationCall::GenerationCall(GatewayState& state, RequestContext& context, const EngineSpec& engine,
    std::shared_ptr<ReservationBroker> broker, StreamOriginLog& originLog)
    : state(state)
    , context(context)
    , engine(engine)
    , broker(std::move(broker))
    , originLog(originLog)
    , version(context.version)
    , retryAccounting(state.retryBudgetOf(context.service))
{
}

bool GenerationCall::isFirstAttempt() const
{
    return !this->context.request.callerTimeout
        || *this->context.request.callerTimeout >= this->context.route.timeout * FirstAttemptShare;
}

bool GenerationCall::canResume() const
{
    return this->context.route.isResumable && this->runs < this->context.route.maxAttempts
        && (this->framer.lastId().has_value() || !this->hasBegun);
}

TimePoint GenerationCall::reservationDue() const
{
    TimePoint arrived = this->context.request.arrivedAt;
    TimePoint due = arrived + MaxSilence;
    if (this->isFirstAttempt() && !this->hasBegun)
        due = arrived + this->context.route.latencyTarget - TimeToFirstEvent;
    if (this->rounds > 1)
        due = std::max(due, this->state.now() + MinReservationWait);
    return std::min(due, this->context.deadline - TimeToFirstEvent);
}

std::uint32_t GenerationCall::tokensNeeded() const
{
    GenerationSize size = this->context.request.size.value_or(GenerationSize {});
    std::uint32_t output = this->state.outputs.tokensToReserve(
        this->context.route.name, size.expectedOutputTokens, size.maxOutputTokens);
    return std::min(size.promptTokens + output, this->engine.kvCapacityTokens);
}

Duration GenerationCall::readTimeout() const
{
    Duration left
        = std::max<Duration>(this->context.deadline - this->state.now(), std::chrono::milliseconds { 1 });
    bool isStallWatched = this->hasBegun && this->canResume() && this->context.route.gapTarget.count() > 0;
    return isStallWatched ? std::min<Duration>(left, this->context.route.gapTarget * StallGapCount) : left;
}

asio::awaitable<void> GenerationCall::serve()
{
    this->state.retryBudgetOf(this->context.service).recordRequest(this->state.now());
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
    else if (timeLeft(this->state, this->context) <= TimeToFirstEvent)
        limit = "time";
    else if (!this->hasPrefillBudget() || !this->takeRunBudget())
        limit = "retry_budget";
    if (limit.empty())
        return true;
    this->noteNoRetry(limit);
    return false;
}

bool GenerationCall::hasPrefillBudget()
{
    bool isRetry = !this->unusedCache && this->retryAccounting.prefillsReached() > 0;
    return !isRetry || this->state.retryBudgetOf(this->context.service).left(this->state.now()) >= 1;
}

void GenerationCall::noteNoRetry(std::string_view limit)
{
    TimePoint now = this->state.now();
    auto budget = static_cast<int>(this->state.retryBudgetOf(this->context.service).left(now));
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
        noteCallerDisconnected(this->state, this->context, this->failure);
        co_return;
    }
    if (this->hasBegun) {
        abortStream(this->state, this->context, this->failure, this->lastServer, this->lastDetail);
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
            this->state.now(), this->state.allBackingOffUntil(this->context.service, role), retryAfter);
    co_await answerNotRun(this->state, this->context, reason, retryAfter, this->lastServer);
}

asio::awaitable<GenerationCall::Next> GenerationCall::attempt()
{
    TimePoint began = this->state.now();
    if (this->mustWaitForBackoff()) {
        this->failure = "servers_back_off";
        this->context.trace.addFailure(began, "rejected_early", { { "reason", "servers_back_off" } });
        co_return Next::GiveUp;
    }
    this->failure = "no_capacity";
    auto candidates = this->decodeEngines();
    if (this->version && candidates.empty()) {
        this->failure = "no_server_of_version";
        this->context.trace.addFailure(began, "rejected_early",
            { { "reason", "no_server_of_version" }, { "version", this->version->raw() } });
        co_return Next::GiveUp;
    }
    this->context.trace.add(began, "reservation_asked",
        { { "round", std::to_string(this->rounds) }, { "tokens", std::to_string(this->tokensNeeded()) },
            { "due_ms", millisecondsText(this->reservationDue() - began) },
            { "candidates", std::to_string(candidates.size()) },
            { "waiting", std::to_string(this->broker->waitingRequests()) },
            { "list_age_ms", millisecondsText(began - this->state.serversReadAt) } });
    auto reservation = co_await this->broker->acquire(this->context.trace, this->tokensNeeded(),
        this->version, this->reservationDue(), this->context.cancellation);
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
    this->reservationWait = this->state.now() - began;
    this->state.metrics.addReservationWait(this->reservationWait);
    this->lastServer = reservation->engine->record().id.raw();
    this->context.trace.add(this->state.now(), "reservation_granted",
        { { "server", this->lastServer }, { "waited_ms", millisecondsText(this->reservationWait) } });
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
    if (this->version)
        std::erase_if(
            engines, [this](const ServerRecord* each) { return each->softwareVersion != *this->version; });
    return engines;
}

bool GenerationCall::mustWaitForBackoff() const
{
    TimePoint due = this->reservationDue();
    for (ServerRole role : { ServerRole::Decode, ServerRole::Prefill }) {
        auto until = this->state.allBackingOffUntil(this->context.service, role);
        if (until && *until > due)
            return true;
    }
    return false;
}

asio::awaitable<std::optional<KvLocation>> GenerationCall::prefill(const EngineReservation& reservation)
{
    Duration cost = this->state.demandOf(this->context.service)
                        .prefillCost()
                        .estimate(this->promptTokens())
                        .value_or(TimeToFirstEvent / 2);
    // A prefill that ends later finds its reservation expired, and is wasted. A prompt that takes longer than
    // any reservation lasts is tried all the same: the decode engine may have room without one.
    bool fits = this->state.now() + cost + HandOverTime < reservation.expiresAt;
    TimePoint end = fits ? std::min(reservation.expiresAt, this->context.deadline) : this->context.deadline;
    TimePoint latest = end - HandOverTime - cost;
    while (!this->context.cancellation.isCancelled() && this->state.now() < latest) {
        auto engines = this->state.healthyServers(this->context.service, ServerRole::Prefill);
        auto choice = this->state.prefillLoad.choose(engines, reservation.engine->record().dataCentre,
            this->promptTokens(), this->state.now(), this->state.random);
        if (!choice) {
            auto until = this->state.allBackingOffUntil(this->context.service, ServerRole::Prefill);
            if (until && *until >= latest)
                co_return std::nullopt;
            co_await sleepFor(this->state.executor, PrefillRetryDelay);
            continue;
        }
        bool isLimitReached = this->retryAccounting.prefillsReached() >= MaxPrefills;
        if (isLimitReached || !this->retryAccounting.tryPrefill(this->state.now())) {
            this->noteNoRetry(isLimitReached ? "prefills" : "retry_budget");
            co_return std::nullopt;
        }
        this->context.trace.add(this->state.now(), "prefill_sent",
            { { "server", choice->raw() }, { "tokens", std::to_string(this->promptTokens()) },
                { "candidates", std::to_string(engines.size()) },
                { "own_tokens_there", std::to_string(this->state.prefillLoad.tokensAt(*choice)) } });
        auto kvCache = co_await this->prefillAt(*choice, latest + cost);
        if (kvCache)
            co_return kvCache;
    }
    if (!this->context.cancellation.isCancelled())
        this->context.trace.addFailure(this->state.now(), "prefill_missed",
            { { "left_ms", millisecondsText(timeLeft(this->state, this->context)) },
                { "reservation_left_ms", millisecondsText(reservation.expiresAt - this->state.now()) } });
    co_return std::nullopt;
}

bool GenerationCall::takePrefillResendBudget()
{
    this->retryAccounting.notePrefillReached();
    if (this->retryAccounting.tryPrefill(this->state.now()))
        return true;
    this->noteNoRetry("retry_budget");
    return false;
}

bool GenerationCall::takeRunBudget()
{
    bool isRetry = this->retryAccounting.isNextRunRetry();
    if (!this->retryAccounting.tryRun(this->state.now()))
        return false;
    if (isRetry)
        this->state.metrics.countRetry(this->context.service.raw());
    return true;
}

asio::awaitable<std::optional<KvLocation>> GenerationCall::prefillAt(ServerId server, TimePoint due)
{
    const ServerRecord* record = this->state.directory.find(server);
    if (record == nullptr)
        co_return std::nullopt;
    auto client = this->state.clients.clientFor(*record);
    TimePoint began = this->state.now();
    this->state.prefillLoad.reserve(server, this->promptTokens());
    Duration longest = this->state.demandOf(this->context.service)
                           .prefillTimeout(this->promptTokens())
                           .value_or(InitialPrefillTimeout);
    auto timeLimit = std::chrono::ceil<std::chrono::milliseconds>(std::min(longest, due - began));
    auto result = co_await client->prefill(
        this->context.request, timeLimit, [this] { return this->takePrefillResendBudget(); },
        this->context.cancellation);
    this->state.prefillLoad.release(server, this->promptTokens());
    if (auto* failed = std::get_if<CallFailure>(&result)) {
        if (failed->mayHaveRun || failed->isRefusal)
            this->retryAccounting.notePrefillReached();
        Duration took = this->state.now() - began;
        if (took >= timeLimit && !this->context.cancellation.isCancelled())
            this->state.demandOf(this->context.service).recordTimedOutPrefill(this->promptTokens(), took);
        this->notePrefillFailure(server, *failed, this->state.now() - began);
        co_return std::nullopt;
    }
    this->context.trace.add(this->state.now(), "prefill_done",
        { { "server", server.raw() }, { "took_ms", millisecondsText(this->state.now() - began) } });
    this->retryAccounting.notePrefillReached();
    this->state.health.record(server, ServerCallResult::Answered, this->state.now());
    this->state.prefillLoad.noteServed(server);
    this->cacheUsableUntil = this->state.now() + this->engine.kvHandleLifetime - HandOverTime;
    this->state.demandOf(this->context.service)
        .recordPrefill(this->promptTokens(), this->state.now() - began);
    this->state.metrics.addPrefill(this->state.now() - began);
    co_return std::get<KvLocation>(std::move(result));
}

void GenerationCall::notePrefillFailure(const ServerId& server, const CallFailure& failed, Duration took)
{
    this->lastDetail = failed.detail;
    if (this->context.cancellation.isCancelled())
        return;
    TimePoint now = this->state.now();
    // An engine in the other role answers like another server; it may still serve in that role.
    if (failed.isMisdirected) {
        this->state.prefillLoad.noteSuperseded(server, now);
    } else if (failed.isRefusal) {
        this->state.prefillLoad.noteUnusable(server, now);
        if (const ServerRecord* record = this->state.directory.find(server))
            this->checkRoleInBackground(this->state.clients.clientFor(*record), ServerRole::Prefill);
    } else {
        this->state.noteFailure(server, failed);
    }
    this->context.trace.addFailure(now, "prefill_failed",
        { { "server", server.raw() }, { "took_ms", millisecondsText(took) }, { "detail", failed.detail } });
}

std::uint32_t GenerationCall::promptTokens() const
{
    return this->context.request.size ? this->context.request.size->promptTokens : 1;
}

asio::awaitable<GenerationCall::Next> GenerationCall::stream(
    const EngineReservation& reservation, KvLocation kvCache)
{
    const ServerId server = reservation.engine->record().id;
    bool isReplaced = this->state.health.isReplaced(server, this->state.now());
    if (isReplaced || this->state.isBackingOff(reservation.engine->record())) {
        // Another call found this out after the reservation was granted; a run would be rejected.
        this->noteFailedHandOver(
            server, kvCache, isReplaced ? "the engine has been replaced" : "the engine asked for a backoff");
        this->broker->cancel(reservation);
        this->unusedCache = std::move(kvCache);
        co_return Next::Retry;
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
            { "prefill_server", kvCache.engineAddress },
            { "cache_left_ms", millisecondsText(this->cacheUsableUntil - began) },
            { "after_event", options.lastEvent ? std::to_string(*options.lastEvent) : "" } });
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
                { "took_ms", millisecondsText(this->state.now() - began) }, { "detail", failed->detail } });
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
    Next next = co_await this->forward(*answer, server);
    answer->abort();
    if (next == Next::Done)
        this->state.demandOf(this->context.service)
            .recordRun(this->engine,
                { reservation.tokens, this->framer.events(), this->state.now() - began,
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

std::optional<KvLocation> GenerationCall::takeUnusedCache()
{
    auto cache = std::exchange(this->unusedCache, std::nullopt);
    if (cache && this->state.now() < this->cacheUsableUntil)
        return cache;
    if (cache)
        this->freeInBackground(*cache);
    return std::nullopt;
}

asio::awaitable<GenerationCall::Next> GenerationCall::forward(ServerAnswer& answer, const ServerId& server)
{
    if (answer.head().response.status != Success && !this->hasBegun)
        co_return co_await this->forwardErrorAnswer(answer, server);
    if (answer.head().response.status != Success) {
        this->lastDetail = "status " + std::to_string(answer.head().response.status) + " on resuming";
        co_return Next::Retry;
    }
    bool isEmpty = true;
    while (true) {
        this->context.cancellation.setHandler([&answer] { answer.abort(); });
        auto piece = co_await answer.readBody(this->readTimeout());
        this->context.cancellation.clearHandler();
        if (this->context.cancellation.isCancelled())
            co_return Next::Retry;
        if (auto* error = std::get_if<NetError>(&piece)) {
            this->noteBrokenStream(answer, server, std::move(error->detail));
            co_return Next::Retry;
        }
        std::string& bytes = std::get<std::string>(piece);
        if (bytes.empty())
            break;
        isEmpty = false;
        if (!co_await this->deliver(answer, std::move(bytes)))
            co_return Next::Retry;
    }
    // The end of the connection alone does not tell a complete stream without events from a lost one.
    bool isLost = isEmpty && answer.framing() == BodyFraming::ConnectionEnd;
    if (isLost || this->framer.hasPartialEvent()) {
        this->noteBrokenStream(answer, server, isLost ? "end of connection" : "end inside an event");
        co_return Next::Retry;
    }
    if (!this->hasBegun)
        co_await this->deliver(answer, {});
    co_await this->context.exchange.endStream();
    this->state.health.record(server, ServerCallResult::Answered, this->state.now());
    this->originLog.noteCompleted(this->context.request);
    std::uint32_t expected
        = this->context.request.size ? this->context.request.size->expectedOutputTokens : 0;
    this->state.outputs.record(
        this->context.route.name, expected, this->framer.events() * this->engine.tokensPerEvent);
    noteAnswered(this->state, this->context,
        { Success, server.raw(), this->rounds, answer.framing(),
            StreamSummary { this->firstEvent.value_or(Duration::zero()), this->longestPause,
                this->framer.events(), this->framer.hasPartialEvent() } });
    co_return Next::Done;
}

void GenerationCall::noteBegun()
{
    if (this->version)
        return;
    this->version = this->runVersion;
    if (this->context.route.isResumable)
        this->originLog.noteBegun(this->context.request.attempt, { this->context.service, this->runVersion });
}

void GenerationCall::noteBrokenStream(ServerAnswer& answer, const ServerId& server, std::string detail)
{
    TimePoint now = this->state.now();
    this->lastDetail = std::move(detail);
    this->failure = timeLeft(this->state, this->context).count() == 0 ? "deadline_passed" : "server_lost";
    this->state.health.record(server, ServerCallResult::Unreachable, now);
    this->context.trace.addFailure(now, "stream_broken",
        { { "server", server.raw() }, { "framing", std::string { nameOf(answer.framing()) } },
            { "events", std::to_string(this->framer.events()) },
            { "partial_event", this->framer.hasPartialEvent() ? "true" : "false" },
            { "left_ms", millisecondsText(timeLeft(this->state, this->context)) },
            { "detail", this->lastDetail } });
    this->framer.dropPartialEvent();
}

asio::awaitable<bool> GenerationCall::deliver(ServerAnswer& answer, std::string bytes)
{
    TimePoint now = this->state.now();
    if (this->hasBegun)
        this->longestPause = std::max(this->longestPause, now - this->lastPieceAt);
    this->lastPieceAt = now;
    std::string completeEvents = this->framer.push(bytes);
    // Only resumable streams have to be cut at event boundaries.
    std::string& sent = this->context.route.isResumable ? completeEvents : bytes;
    bool isOk = true;
    if (!this->hasBegun && (!sent.empty() || bytes.empty())) {
        this->hasBegun = true;
        this->noteBegun();
        this->firstEvent = this->state.now() - this->context.request.arrivedAt;
        HttpResponse head = answer.head().response;
        head.body = std::move(sent);
        isOk = co_await this->context.exchange.beginStream(std::move(head));
    } else if (!sent.empty()) {
        isOk = co_await this->context.exchange.writeChunk(std::move(sent));
    }
    if (!isOk)
        this->context.cancellation.cancel();
    co_return isOk;
}

asio::awaitable<GenerationCall::Next> GenerationCall::forwardErrorAnswer(
    ServerAnswer& answer, const ServerId& server)
{
    HttpResponse response = answer.head().response;
    this->context.cancellation.setHandler([&answer] { answer.abort(); });
    auto body = co_await readWholeBody(answer, this->context.deadline);
    this->context.cancellation.clearHandler();
    if (auto* error = std::get_if<NetError>(&body)) {
        this->lastDetail = error->detail;
        co_return Next::Retry;
    }
    response.body = std::get<std::string>(std::move(body));
    this->state.health.record(server, ServerCallResult::ServerError, this->state.now());
    std::uint16_t status = response.status;
    co_await this->context.exchange.respond(std::move(response));
    noteAnswered(this->state, this->context, { status, server.raw(), this->rounds, answer.framing(), {} });
    co_return Next::Done;
}

void GenerationCall::checkRoleInBackground(std::shared_ptr<ServerClient> engineClient, ServerRole role)
{
    if (this->state.isBackingOff(engineClient->record()))
        return;
    asio::co_spawn(
        this->state.executor,
        [](GatewayState& state, std::shared_ptr<ServerClient> client, ServerRole role,
            Duration switchTime) -> asio::awaitable<void> {
            auto report = co_await client->report(ReportTimeout);
            auto* found = std::get_if<EngineReport>(&report);
            if (found == nullptr || (!found->isCommandInProgress && found->role == role))
                co_return;
            EngineLoad& load = role == ServerRole::Prefill ? state.prefillLoad : state.reservedLoad;
            load.noteChangingRole(client->record().id, state.now() + switchTime);
            state.log.write(LogLevel::Info, "role_change_seen", { { "server", client->record().id.raw() } });
        }(this->state, std::move(engineClient), role, this->engine.roleSwitchTime),
        asio::detached);
}

void GenerationCall::freeInBackground(const KvLocation& kvCache)
{
    for (const ServerRecord* record : this->state.directory.all()) {
        // The engine frees an unused KV cache by itself soon after.
        if (record->address != kvCache.engineAddress || this->state.isBackingOff(*record))
            continue;
        asio::co_spawn(
            this->state.executor,
            [](std::shared_ptr<ServerClient> client, KvHandle handle) -> asio::awaitable<void> {
                co_await client->freeKvCache(std::move(handle));
            }(this->state.clients.clientFor(*record), kvCache.handle),
            asio::detached);
        return;
    }
}

} // namespace peridotgrade
