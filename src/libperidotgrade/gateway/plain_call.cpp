// Server choice, retries and answers of plain requests.
#include "peridotgrade/gateway/plain_call.h"

#include "peridotgrade/core/base/invariant.h"
#include "peridotgrade/core/serving/retry_after.h"
#include "peridotgrade/gateway/final_answer.h"
#include "peridotgrade/net/whole_body.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {
    // Limit on the sends of one request, in addition to the route's limit on attempts: servers may reject
    // sends without running them.
    constexpr std::uint32_t MaxSends = 4;
    // A failure share of one weighs as much as this many more running requests.
    constexpr double FailureWeight = 8;
    // Penalty of another data centre: a round trip costs less than one waiting request.
    constexpr double OtherDataCentreWeight = 0.7;
    // An idempotent request with another attempt left is sent elsewhere after its remaining time divided by
    // this.
    constexpr int AttemptTimeDivisor = 2;
    constexpr std::uint16_t FirstServerError = 500;
    // Of an answer without length and chunks. A process that is being stopped closes its connections in less.
    constexpr std::chrono::milliseconds SettleTime { 500 };
    // Bytes of an answer that are written to its caller at once.
    constexpr std::size_t PassedPart = 64 * 1024;
} // namespace

PlainCall::PlainCall(GatewayState& state, RequestContext& context)
    : state(state)
    , context(context)
    , retryAccounting(state.retryBudgetOf(context.service), context.request.urgency.value_or(0))
{
}

asio::awaitable<void> PlainCall::serve()
{
    this->state.retryBudgetOf(this->context.service)
        .recordRequest(this->state.now(), this->context.request.urgency.value_or(0));
    co_await this->state.tryProbation(this->context.request);
    while (true) {
        if (this->context.cancellation.isCancelled()) {
            if (this->runs == 0)
                this->context.quota.refund();
            noteCallerDisconnected(this->state, this->context, "waiting for a server");
            co_return;
        }
        const ServerRecord* record = this->chooseServer();
        std::string_view limit = this->limitReached(record);
        if (!limit.empty()) {
            this->noteNoSend(limit);
            co_await this->giveUp();
            co_return;
        }
        Next next = co_await this->attempt(*record);
        if (next == Next::Done)
            co_return;
    }
}

std::string_view PlainCall::limitReached(const ServerRecord* next)
{
    if (this->state.isHeld(this->context.request))
        return "quarantined";
    if (next == nullptr)
        return "servers";
    if (this->sends >= MaxSends)
        return "sends";
    if (timeLeft(this->state, this->context).count() == 0)
        return "time";
    if (this->runs > 0 && !this->canRunAgain())
        return this->context.route.kind == CallKind::Idempotent ? "attempts" : "not_repeatable";
    if (this->runs > 0 && !this->state.crashes.mayRepeat(this->context.request.suspects()))
        return "suspect";
    bool isRetry = this->retryAccounting.isNextRunRetry();
    if (!this->retryAccounting.tryRun(this->state.spendTime()))
        return "retry_budget";
    if (isRetry)
        this->state.metrics.countRetry(this->context.service.raw());
    return {};
}

bool PlainCall::takeResendBudget()
{
    this->retryAccounting.noteRunReached();
    if (!this->retryAccounting.tryRun(this->state.spendTime())) {
        this->noteNoSend("retry_budget");
        return false;
    }
    this->state.metrics.countRetry(this->context.service.raw());
    return true;
}

void PlainCall::noteNoSend(std::string_view limit)
{
    TimePoint now = this->state.now();
    auto budget = static_cast<int>(this->state.retryBudgetOf(this->context.service).left(now));
    this->context.trace.add(now, "retry_refused",
        { { "limit", std::string { limit } }, { "sends", std::to_string(this->sends) },
            { "runs", std::to_string(this->runs) },
            { "left_ms", millisecondsText(timeLeft(this->state, this->context)) },
            { "list_age_ms", millisecondsText(now - this->state.serversReadAt) },
            { "budget", std::to_string(budget) } });
}

bool PlainCall::canRunAgain() const
{
    return this->context.route.kind == CallKind::Idempotent && this->runs < this->context.route.maxAttempts;
}

Duration PlainCall::attemptTime() const
{
    Duration left = this->context.deadline - this->state.now();
    bool hasAnother = this->context.route.kind == CallKind::Idempotent
        && this->runs + 1 < this->context.route.maxAttempts;
    return hasAnother ? left / AttemptTimeDivisor : left;
}

const ServerRecord* PlainCall::chooseServer()
{
    const ServerRecord* best = nullptr;
    double bestCost = 0;
    for (const ServerRecord* server : this->state.healthyServers(this->context.service, ServerRole::None)) {
        if (!this->mayServe(server->softwareVersion) || this->tried.contains(server->id))
            continue;
        double cost = this->expectedTime(*server)
            + FailureWeight * this->state.health.failureShare(server->id) + this->state.random.unit() / 2;
        if (server->dataCentre.raw() != this->state.settings.dataCentre)
            cost += OtherDataCentreWeight;
        if (best == nullptr || cost < bestCost) {
            best = server;
            bestCost = cost;
        }
    }
    return best;
}

bool PlainCall::mayServe(const SoftwareVersion& candidate) const
{
    if (this->context.version)
        return candidate == *this->context.version;
    bool isResumable = this->context.route.kind == CallKind::Streaming && this->context.route.isResumable;
    return !isResumable || this->state.versions[this->context.service].isRecorded(candidate);
}

double PlainCall::requestsAt(const ServerRecord& server) const
{
    auto own = static_cast<double>(this->state.reservedLoad.tokensAt(server.id));
    return std::max(own, this->state.pace.reportedRequests(server, this->state.now()).value_or(0));
}

double PlainCall::expectedTime(const ServerRecord& server) const
{
    return this->state.pace.expectedTime(server, this->requestsAt(server), this->state.now());
}

asio::awaitable<PlainCall::Next> PlainCall::attempt(const ServerRecord& record)
{
    auto client = this->state.clients.clientFor(record);
    const ServerId server = record.id;
    this->tried.insert(server);
    ++this->sends;
    this->lastServer = server.raw();
    RunOptions options;
    options.timeLeft = timeLeft(this->state, this->context);
    if (this->context.route.kind == CallKind::Idempotent)
        options.mayResend
            = [this, client] { return this->state.mayCall(client->record()) && this->takeResendBudget(); };
    options.callReserve = this->state.limits.reserve(record);
    this->context.trace.add(this->state.now(), "call_sent",
        { { "server", this->lastServer },
            { "own_calls_there", std::to_string(this->state.reservedLoad.tokensAt(server)) },
            { "pace", this->state.notePace(server) },
            { "requests_there", std::to_string(std::lround(this->requestsAt(record))) },
            { "limit_ms", millisecondsText(this->attemptTime()) } });
    double slots = std::max<double>(record.slots, 1);
    double shareOfSlot = std::max(1.0, (this->requestsAt(record) + 1) / slots);
    TimePoint began = this->state.now();
    // One token stands for one running request at plain servers.
    this->state.reservedLoad.reserve(server, 1);
    auto result = co_await client->run(
        this->context.request, options, this->attemptTime(), this->context.cancellation);
    this->state.reservedLoad.release(server, 1);
    if (auto* failure = std::get_if<CallFailure>(&result)) {
        this->lastDetail = failure->detail;
        if (failure->mayHaveRun) {
            ++this->runs;
            this->retryAccounting.noteRunReached();
        }
        if (this->context.cancellation.isCancelled())
            co_return Next::TryOther;
        this->state.noteFailure(server, *failure);
        this->context.trace.addFailure(this->state.now(), "attempt_failed",
            { { "server", server.raw() }, { "may_have_run", failure->mayHaveRun ? "true" : "false" },
                { "lost", failure->isConnectionLost ? "true" : "false" }, { "detail", failure->detail } });
        if (failure->isConnectionLost)
            co_await this->state.noteLostRun(server, this->context.request);
        else if (failure->mayHaveRun)
            this->state.noteSilentRun(server, this->context.request);
        co_return Next::TryOther;
    }
    this->retryAccounting.noteRunReached();
    auto answer = std::move(std::get<std::unique_ptr<ServerAnswer>>(result));
    double seconds = std::chrono::duration<double>(this->state.now() - began).count();
    if (!answer->head().isNotRun && answer->head().response.status < FirstServerError)
        this->state.pace.record(
            client->record(), PaceSample::PlainCall, seconds / shareOfSlot, this->state.now());
    co_return co_await this->forwardAnswer(*answer, client);
}

EndCheckTimes PlainCall::endCheckTimes() const
{
    Duration timeout
        = std::min<Duration>(timeLeft(this->state, this->context), GatewayState::MaxEndCheckTime);
    return { std::min<Duration>(SettleTime, timeout / 2), timeout, ServerLiveness::NewConnectionAllowance };
}

asio::awaitable<PlainCall::Next> PlainCall::forwardAnswer(
    ServerAnswer& answer, std::shared_ptr<ServerClient> client)
{
    const ServerId server = client->record().id;
    if (answer.head().isUnsigned && !answer.head().isNotRun) {
        this->noteIncomplete(answer, server,
            NetError { NetErrorKind::Malformed, true, std::string { GatewayState::UnsignedAnswer } });
        co_return Next::TryOther;
    }
    auto watch = this->state.watchServer(client, answer.framing());
    HttpResponse response = answer.head().response;
    this->context.cancellation.setHandler([&answer] { answer.abort(); });
    BodyMemory::Share share(&this->state.answerMemory);
    auto error = co_await appendWholeBody(
        answer, this->context.deadline, { GatewayState::MaxAnswerBytes, &share }, response.body);
    this->context.cancellation.clearHandler();
    if (error && error->kind == NetErrorKind::NoMemory && this->isFinal(answer.head())) {
        co_await this->passOn(answer, watch, std::move(response), std::move(share));
        co_return Next::Done;
    }
    if (!error && !answer.head().isNotRun) {
        bool isBrokenOff
            = co_await this->state.isBrokenOff(watch, this->context.request, this->endCheckTimes());
        if (this->context.cancellation.isCancelled()) {
            ++this->runs;
            co_return Next::TryOther;
        }
        if (isBrokenOff)
            error = NetError { NetErrorKind::Closed, true, std::string { GatewayState::EndedWithAnswer } };
    }
    if (error) {
        this->noteIncomplete(answer, server, *error);
        if (error->kind == NetErrorKind::Closed && !this->context.cancellation.isCancelled())
            co_await this->state.noteLostRun(server, this->context.request);
        co_return Next::TryOther;
    }
    if (answer.head().isNotRun) {
        this->lastDetail = "rejected with status " + std::to_string(response.status);
        this->context.trace.addFailure(this->state.now(), "call_rejected",
            { { "server", server.raw() }, { "detail", this->lastDetail } });
        this->state.health.record(server,
            answer.head().isMisdirected ? ServerCallResult::Superseded : ServerCallResult::Answered,
            this->state.now());
        co_return Next::TryOther;
    }
    ++this->runs;
    bool isServerError = response.status >= FirstServerError;
    this->state.health.record(server,
        isServerError ? ServerCallResult::ServerError : ServerCallResult::Answered, this->state.now());
    if (isServerError && this->canRunAgain()) {
        this->context.trace.add(this->state.now(), "server_error",
            { { "server", server.raw() }, { "status", std::to_string(response.status) } });
        this->lastAnswer = std::move(response);
        this->lastShare = std::move(share);
        this->lastFraming = answer.framing();
        this->lastWriteState = answer.requestWriteState();
        co_return Next::TryOther;
    }
    std::uint16_t status = response.status;
    co_await this->context.exchange.respond(std::move(response));
    noteAnswered(this->state, this->context,
        { status, server.raw(), this->sends, answer.framing(), answer.requestWriteState(), {} });
    co_return Next::Done;
}

void PlainCall::noteIncomplete(ServerAnswer& answer, const ServerId& server, const NetError& error)
{
    this->lastDetail = error.detail;
    this->runs += answer.head().isNotRun ? 0 : 1;
    answer.abort();
    this->context.trace.addFailure(this->state.now(), "answer_incomplete",
        { { "server", server.raw() }, { "kind", std::string { nameOf(error.kind) } },
            { "request_write", std::string { nameOf(answer.requestWriteState()) } },
            { "detail", error.detail } });
    this->state.health.record(server, ServerCallResult::Unreachable, this->state.now());
}

bool PlainCall::isFinal(const ServerAnswerHead& head) const
{
    // The run of this answer counts.
    bool canRunAgain = this->context.route.kind == CallKind::Idempotent
        && this->runs + 1 < this->context.route.maxAttempts;
    return !head.isNotRun && (head.response.status < FirstServerError || !canRunAgain);
}

asio::awaitable<void> PlainCall::passOn(
    ServerAnswer& answer, std::shared_ptr<ServerLiveness> watch, HttpResponse begun, BodyMemory::Share share)
{
    const ServerId server { this->lastServer };
    ++this->runs;
    std::uint16_t status = begun.status;
    this->context.trace.add(this->state.now(), "answer_passed_on",
        { { "server", server.raw() }, { "bytes", std::to_string(begun.body.size()) } });
    std::string held = std::exchange(begun.body, {});
    bool isOk = co_await this->context.exchange.beginStream(std::move(begun));
    // Small parts, since each is copied to be framed.
    for (std::size_t at = 0; isOk && at < held.size(); at += PassedPart)
        isOk = co_await this->context.exchange.writeChunk(held.substr(at, PassedPart));
    held = {};
    share.release();
    while (isOk) {
        this->context.cancellation.setHandler([&answer] { answer.abort(); });
        auto left = std::max<Duration>(timeLeft(this->state, this->context), std::chrono::milliseconds { 1 });
        auto piece = co_await answer.readBody(left);
        this->context.cancellation.clearHandler();
        if (auto* error = std::get_if<NetError>(&piece)) {
            this->state.health.record(server, ServerCallResult::Unreachable, this->state.now());
            abortStream(this->state, this->context, "server_lost", server.raw(), error->detail);
            co_return;
        }
        std::string& bytes = std::get<std::string>(piece);
        if (bytes.empty())
            break;
        isOk = co_await this->context.exchange.writeChunk(std::move(bytes));
    }
    bool isBrokenOff = false;
    if (isOk)
        isBrokenOff = co_await this->state.isBrokenOff(
            std::move(watch), this->context.request, this->endCheckTimes());
    if (isBrokenOff) {
        abortStream(this->state, this->context, "server_lost", server.raw(),
            std::string { GatewayState::EndedWithAnswer });
        co_return;
    }
    if (isOk)
        isOk = co_await this->context.exchange.endStream();
    if (!isOk) {
        answer.abort();
        noteCallerDisconnected(this->state, this->context, "reading the answer");
        co_return;
    }
    this->state.health.record(server, ServerCallResult::Answered, this->state.now());
    noteAnswered(this->state, this->context,
        { status, server.raw(), this->sends, answer.framing(), answer.requestWriteState(), {} });
}

asio::awaitable<void> PlainCall::giveUp()
{
    if (this->lastAnswer) {
        std::uint16_t status = this->lastAnswer->status;
        co_await this->context.exchange.respond(std::move(*this->lastAnswer));
        noteAnswered(this->state, this->context,
            { status, this->lastServer, this->sends, this->lastFraming, this->lastWriteState, {} });
        co_return;
    }
    auto left = timeLeft(this->state, this->context);
    if (this->runs == 0 && this->state.isHeld(this->context.request)) {
        co_await answerQuarantined(this->state, this->context);
        co_return;
    }
    if (this->runs == 0) {
        auto until = this->state.allClosedUntil(this->context.service, ServerRole::None);
        auto retryAfter = notBefore(this->state.now(), until, chooseRetryAfter(left, this->state.random));
        std::string_view reason = this->sends == 0 ? "no_server" : "servers_busy";
        if (until)
            reason = this->state.closedReason(this->context.service, ServerRole::None);
        co_await answerNotRun(this->state, this->context, reason, retryAfter, this->lastServer);
        co_return;
    }
    checkInvariant(this->runs <= this->context.route.maxAttempts, Invariant::ActionAtMostOnce,
        "a request ran on more servers than its route allows");
    std::uint16_t status = left.count() > 0 ? 502 : 504;
    co_await answerFailed(this->state, this->context, status,
        left.count() > 0 ? "server_lost" : "deadline_passed", this->lastServer, this->lastDetail);
}

} // namespace peridotgrade
