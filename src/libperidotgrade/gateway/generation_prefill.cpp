// Cost and prefill of a generation: choice of the engine, retries, and what becomes of a KV cache.
#include "peridotgrade/gateway/generation_call.h"

#include "peridotgrade/gateway/final_answer.h"
#include "peridotgrade/net/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr std::uint32_t MaxPrefills = 4;
    // Delay before prefill engines that were all full are tried again: about half a prefill.
    constexpr std::chrono::milliseconds PrefillRetryDelay { 40 };
    // Until the first prefills have been measured; then `EngineDemand::prefillTimeout` decides.
    constexpr std::chrono::milliseconds InitialPrefillTimeout { 1200 };
    // Time from the choice of another engine until it has requested the KV cache: a reservation and a
    // request, with a round trip of some milliseconds each, and the engine's next step.
    constexpr std::chrono::milliseconds HandOverTime { 100 };
    // A report is answered within a round trip.
    constexpr std::chrono::milliseconds ReportTimeout { 500 };

} // namespace

bool GenerationCall::hasRoundBudget()
{
    return this->retryAccounting.coversRound(!this->unusedCache, this->state.now());
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
    TimePoint due = this->firstEventDue();
    TimePoint end = fits ? std::min(reservation.expiresAt, due) : due;
    TimePoint latest = end - HandOverTime - cost;
    while (!this->context.cancellation.isCancelled() && this->state.now() < latest) {
        auto engines = this->state.healthyServers(this->context.service, ServerRole::Prefill);
        auto choice = this->state.prefillLoad.choose(engines, reservation.engine->record().dataCentre,
            this->promptTokens(), this->state.now(), this->state.random,
            [this](const ServerRecord& server) { return this->cachedTokensAt(server); });
        if (!choice) {
            auto until = this->state.allClosedUntil(this->context.service, ServerRole::Prefill);
            if (until && *until >= latest)
                co_return std::nullopt;
            co_await sleepFor(this->state.executor, PrefillRetryDelay);
            continue;
        }
        bool isRepeat = this->retryAccounting.prefillsReached() > 0;
        bool isSuspect = isRepeat && !this->state.crashes.mayRepeat(this->context.request.suspects());
        bool isHeld = this->state.isHeld(this->context.request);
        if (isHeld || isSuspect) {
            this->noteNoRetry(isHeld ? "quarantined" : "suspect");
            co_return std::nullopt;
        }
        bool isLimitReached = this->retryAccounting.prefillsReached() >= MaxPrefills;
        if (isLimitReached || !this->retryAccounting.tryPrefill(this->state.spendTime())) {
            this->noteNoRetry(isLimitReached ? "prefills" : "retry_budget");
            co_return std::nullopt;
        }
        this->context.trace.add(this->state.now(), "prefill_sent",
            { { "server", choice->raw() }, { "tokens", std::to_string(this->promptTokens()) },
                { "candidates", std::to_string(engines.size()) },
                { "own_tokens_there", std::to_string(this->state.prefillLoad.tokensAt(*choice)) },
                { "cached_tokens",
                    std::to_string(this->cachedTokensAt(*this->state.directory.find(*choice))) },
                { "pace", this->state.notePace(*choice) } });
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
    if (this->retryAccounting.tryPrefill(this->state.spendTime()))
        return true;
    this->noteNoRetry("retry_budget");
    return false;
}

asio::awaitable<std::optional<KvLocation>> GenerationCall::prefillAt(ServerId server, TimePoint due)
{
    const ServerRecord* record = this->state.directory.find(server);
    if (record == nullptr)
        co_return std::nullopt;
    auto client = this->state.clients.clientFor(*record);
    TimePoint began = this->state.now();
    auto callReserve = this->state.limits.reserve(*record);
    this->state.prefillLoad.reserve(server, this->promptTokens());
    Duration longest = this->prefillTimeout(*record);
    auto timeLimit = std::chrono::ceil<std::chrono::milliseconds>(std::min(longest, due - began));
    ResendPermission mayResend
        = [this, client] { return this->state.mayCall(client->record()) && this->takePrefillResendBudget(); };
    auto result = co_await client->prefill(
        this->context.request, timeLimit, std::move(mayResend), this->context.cancellation);
    callReserve.reset();
    this->state.prefillLoad.release(server, this->promptTokens());
    if (auto* failed = std::get_if<CallFailure>(&result)) {
        if (failed->mayHaveRun || failed->isRefusal)
            this->retryAccounting.notePrefillReached();
        Duration took = this->state.now() - began;
        if (took >= timeLimit && !this->context.cancellation.isCancelled())
            this->recordTimedOutPrefill(client->record(), took);
        this->notePrefillFailure(server, *failed, this->state.now() - began);
        bool isCancelled = this->context.cancellation.isCancelled();
        if (failed->isConnectionLost && !isCancelled)
            co_await this->state.noteLostRun(server, this->context.request);
        else if (failed->mayHaveRun && !failed->isRefusal && !isCancelled)
            this->state.noteSilentRun(server, this->context.request);
        co_return std::nullopt;
    }
    this->context.trace.add(this->state.now(), "prefill_done",
        { { "server", server.raw() }, { "took_ms", millisecondsText(this->state.now() - began) } });
    this->retryAccounting.notePrefillReached();
    this->state.health.record(server, ServerCallResult::Answered, this->state.now());
    this->state.prefillLoad.noteServed(server);
    this->cacheUsableUntil = this->state.now() + this->engine.kvHandleLifetime - HandOverTime;
    this->recordPrefill(client->record(), this->state.now() - began);
    this->state.promptCaches.noteRead(client->record(), this->context.request.sharedParts, this->state.now());
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
        { { "server", server.raw() }, { "took_ms", millisecondsText(took) },
            { "lost", failed.isConnectionLost ? "true" : "false" }, { "detail", failed.detail } });
}

Duration GenerationCall::prefillTimeout(const ServerRecord& server)
{
    EngineDemand& demand = this->state.demandOf(this->context.service);
    auto longest = demand.prefillTimeout(this->promptTokens());
    auto cost = demand.prefillCost().estimate(this->promptTokens());
    if (!longest || !cost)
        return InitialPrefillTimeout;
    double more = std::max(this->state.pace.factor(server, this->state.now()), 1.0) - 1;
    return *longest + std::chrono::duration_cast<Duration>(*cost * more * EngineDemand::TimeoutCostFactor);
}

std::uint32_t GenerationCall::cachedTokensAt(const ServerRecord& server) const
{
    return this->state.promptCaches.cachedTokens(
        server, this->context.request.sharedParts, this->state.now());
}

void GenerationCall::recordPrefill(const ServerRecord& server, Duration took)
{
    EngineDemand& demand = this->state.demandOf(this->context.service);
    Duration comparable = demand.prefillCost().atMeanSize(this->promptTokens(), took);
    this->state.pace.record(
        server, PaceSample::Prefill, std::chrono::duration<double>(comparable).count(), this->state.now());
    if (auto cost = demand.prefillCost().estimate(this->promptTokens()))
        this->broker->notePrefill(this->state.now(), took, *cost);
    this->recordBacklog(server, took);
    demand.recordPrefill(this->promptTokens(), this->atMeanEngine(server, took));
}

void GenerationCall::recordTimedOutPrefill(const ServerRecord& server, Duration took)
{
    this->recordBacklog(server, took);
    this->state.demandOf(this->context.service)
        .recordTimedOutPrefill(this->promptTokens(), this->atMeanEngine(server, took));
}

Duration GenerationCall::atMeanEngine(const ServerRecord& server, Duration took)
{
    // The demand follows the quickest prefills. Without the factor these are those of the fastest engines,
    // and the role plan takes engines from a pool that is too small already.
    auto pool = this->state.healthyServers(this->context.service, ServerRole::Prefill);
    return std::chrono::duration_cast<Duration>(took * this->state.pace.meanEngineFactor(server, pool));
}

void GenerationCall::recordBacklog(const ServerRecord& server, Duration took)
{
    auto cost = this->state.demandOf(this->context.service).prefillCost().estimate(this->promptTokens());
    if (cost && this->state.isLoadAware())
        this->state.backlog.record(server, this->promptTokens(), *cost, took, this->state.now());
}

std::uint32_t GenerationCall::tokensNeeded() const { return this->cost().reservedTokens; }

RequestCost GenerationCall::cost() const
{
    GenerationSize size = this->context.request.size.value_or(GenerationSize {});
    StatedCost stated { this->context.route.name, size.promptTokens, size.maxOutputTokens,
        size.expectedOutputTokens };
    return RequestCost::estimate(stated, this->state.outputs, this->engine);
}

std::uint32_t GenerationCall::promptTokens() const
{
    return this->context.request.size ? this->context.request.size->promptTokens : 1;
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

void GenerationCall::checkRoleInBackground(std::shared_ptr<ServerClient> engineClient, ServerRole role)
{
    if (!this->state.mayCall(engineClient->record()))
        return;
    asio::co_spawn(
        this->state.executor,
        [](GatewayState& state, std::shared_ptr<ServerClient> client, ServerRole role,
            std::chrono::milliseconds switchTime) -> asio::awaitable<void> {
            auto report = co_await client->report(ReportTimeout);
            auto* found = std::get_if<EngineReport>(&report);
            if (found == nullptr || (!found->isCommandInProgress && found->role == role))
                co_return;
            EngineLoad& load = role == ServerRole::Prefill ? state.prefillLoad : state.reservedLoad;
            load.noteChangingRole(client->record().id, state.now() + switchTime);
            state.log.write(LogLevel::Info, "role_change_seen", { { "server", client->record().id.raw() } });
            ServerRole next = role == ServerRole::Prefill ? ServerRole::Decode : ServerRole::Prefill;
            if (state.onRoleChangeSeen)
                state.onRoleChangeSeen(client->record(), next, switchTime);
        }(this->state, std::move(engineClient), role, this->engine.roleSwitchTime),
        asio::detached);
}

void GenerationCall::freeInBackground(const KvLocation& kvCache)
{
    for (const ServerRecord* record : this->state.directory.all()) {
        // The engine frees an unused KV cache by itself soon after.
        if (record->address != kvCache.engineAddress || !this->state.mayCall(*record))
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
