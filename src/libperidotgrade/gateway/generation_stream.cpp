// The answer of a generation: its stream, or its error.
#include "peridotgrade/gateway/generation_call.h"

#include "peridotgrade/gateway/final_answer.h"
#include "peridotgrade/net/whole_body.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    // A stream is resumed at another engine after a silence of this many times its route's longest pause.
    constexpr int StallGapCount = 5;
    constexpr std::uint16_t Success = 200;
    // Of one report after the other, while the caller waits for its first event. A report takes one round
    // trip; a lost packet or a busy server delays it.
    constexpr std::array<std::chrono::milliseconds, 2> ReportTimeouts { std::chrono::milliseconds { 400 },
        std::chrono::milliseconds { 1200 } };
    // The caller has all events, so the check whether the stream is complete may take longer than that of a
    // plain answer.
    constexpr std::chrono::milliseconds SettleTime { 1000 };

} // namespace

asio::awaitable<GenerationCall::Next> GenerationCall::forward(
    ServerAnswer& answer, std::shared_ptr<ServerClient> client)
{
    const ServerRecord& record = client->record();
    const ServerId server = record.id;
    this->recordedAt = {};
    if (answer.head().isUnsigned) {
        this->noteBrokenStream(answer, server, std::string { GatewayState::UnsignedAnswer });
        co_return Next::Retry;
    }
    if (answer.head().response.status != Success && !this->hasBegun)
        co_return co_await this->forwardErrorAnswer(answer, client);
    if (answer.head().response.status != Success) {
        this->lastDetail = "status " + std::to_string(answer.head().response.status) + " on resuming";
        co_return Next::Retry;
    }
    if (this->context.route.isResumable) {
        bool isListedIncarnation = co_await this->checkIncarnation(answer, client);
        if (!isListedIncarnation)
            co_return Next::Retry;
    }
    auto watch = this->state.watchServer(client, answer.framing());
    bool isEmpty = true;
    this->progressAt = this->state.now();
    while (true) {
        // Bytes that complete no event, such as comments, are no progress.
        if (this->isStallWatched() && this->stallTimeLeft() <= Duration::zero()) {
            this->noteBrokenStream(answer, server, "no event in time");
            this->state.noteSilentRun(server, this->context.request);
            co_return Next::Retry;
        }
        // A server that never pauses is never late by the time-out of a single read.
        if (timeLeft(this->state, this->context).count() == 0) {
            this->noteBrokenStream(answer, server, "the stream did not end in time");
            co_return Next::Retry;
        }
        TimePoint waitBegan = this->state.now();
        this->context.cancellation.setHandler([&answer] { answer.abort(); });
        auto piece = co_await answer.readBody(this->readTimeout());
        this->context.cancellation.clearHandler();
        if (this->context.cancellation.isCancelled())
            co_return Next::Retry;
        if (auto* error = std::get_if<NetError>(&piece)) {
            bool isConnectionLost = error->kind == NetErrorKind::Closed;
            this->noteBrokenStream(answer, server, std::move(error->detail));
            if (isConnectionLost)
                co_await this->state.noteLostRun(server, this->context.request);
            else
                this->state.noteSilentRun(server, this->context.request);
            co_return Next::Retry;
        }
        std::string& bytes = std::get<std::string>(piece);
        if (bytes.empty())
            break;
        isEmpty = false;
        auto lastId = this->framer.lastId();
        bool isDelivered = co_await this->deliver(answer, std::move(bytes));
        if (!isDelivered)
            co_return Next::Retry;
        this->recordEvents(record, waitBegan);
        // The time that the caller took is not the engine's.
        if (this->framer.lastId() != lastId)
            this->progressAt = this->state.now();
        if (this->framer.hasRepeatedId()) {
            // What the caller has of this stream cannot be told by its ids, so no engine can go on with it.
            this->noteBrokenStream(answer, server, "the id of an event does not grow");
            co_return Next::GiveUp;
        }
        if (this->framer.isEventTooLong()) {
            this->noteBrokenStream(
                answer, server, "an event exceeds " + std::to_string(EventFramer::MaxEventBytes) + " bytes");
            co_return Next::Retry;
        }
    }
    // Every stream has an event, unless its caller has them all and resumes it.
    bool isResumed = this->hasBegun || this->context.request.isResumption();
    bool isEndDoubtful
        = answer.framing() == BodyFraming::ConnectionEnd && this->hasBegun && !this->mayBeComplete;
    bool isLost = isEmpty && (!isResumed || isEndDoubtful);
    std::string_view broken;
    if (isLost)
        broken = "end without an event";
    else if (this->framer.hasPartialEvent())
        broken = "end inside an event";
    this->bodyEndedAt = this->state.now();
    if (broken.empty()) {
        bool isBrokenOff
            = co_await this->state.isBrokenOff(watch, this->context.request, this->endCheckTimes());
        if (this->context.cancellation.isCancelled())
            co_return Next::Retry;
        if (isBrokenOff)
            broken = GatewayState::EndedWithAnswer;
    }
    if (!broken.empty()) {
        this->noteBrokenStream(answer, server, std::string { broken });
        this->mayBeComplete = broken == GatewayState::EndedWithAnswer;
        co_await this->state.noteLostRun(server, this->context.request);
        co_return Next::Retry;
    }
    if (!this->hasBegun)
        co_await this->deliver(answer, {});
    co_await this->context.exchange.endStream();
    this->state.health.record(server, ServerCallResult::Answered, this->state.now());
    this->originLog.noteCompleted(this->context.request);
    std::uint32_t expected = this->cost().outputTokens;
    std::uint32_t output = this->recordOutput(expected);
    noteAnswered(this->state, this->context,
        { Success, server.raw(), this->rounds, answer.framing(), answer.requestWriteState(),
            StreamSummary { this->firstEvent.value_or(Duration::zero()), this->longestPause,
                this->framer.events(), this->framer.hasPartialEvent(), expected, output } });
    co_return Next::Done;
}

std::uint32_t GenerationCall::recordOutput(std::uint32_t expected)
{
    std::uint32_t hint = this->context.request.size ? this->context.request.size->expectedOutputTokens : 0;
    std::uint32_t output = this->framer.events() * this->engine.tokensPerEvent;
    if (expected > 0)
        this->state.metrics.addOutputError(static_cast<double>(output) / expected);
    this->state.outputs.record(this->context.route.name, hint, output);
    return output;
}

asio::awaitable<GenerationCall::Incarnation> GenerationCall::incarnationOf(
    const ServerAnswer& answer, std::shared_ptr<ServerClient> client)
{
    auto confirmedAt = client->confirmedAt();
    if (client->record().startedAt == WallTime {}
        || (confirmedAt && answer.head().connectedAt < *confirmedAt))
        co_return Incarnation::Listed;
    for (auto timeout : ReportTimeouts) {
        if (this->context.cancellation.isCancelled())
            break;
        if (!this->state.mayCall(client->record()))
            co_return Incarnation::NotAsked;
        auto result = co_await client->report(timeout);
        if (const auto* report = std::get_if<EngineReport>(&result)) {
            if (report->startedAt == WallTime {})
                co_return Incarnation::Unknown;
            co_return report->startedAt == client->record().startedAt ? Incarnation::Listed
                                                                      : Incarnation::Other;
        }
        const auto& failure = std::get<CallFailure>(result);
        if (failure.isMisdirected)
            co_return Incarnation::Other;
        if (failure.isConnectionRefused || failure.isConnectionLost)
            break;
    }
    co_return Incarnation::Unknown;
}

asio::awaitable<bool> GenerationCall::checkIncarnation(
    ServerAnswer& answer, std::shared_ptr<ServerClient> client)
{
    const ServerId server = client->record().id;
    this->context.cancellation.setHandler([&answer] { answer.abort(); });
    Incarnation incarnation = co_await this->incarnationOf(answer, client);
    this->context.cancellation.clearHandler();
    this->isRunVersionShown = incarnation == Incarnation::Listed;
    if (this->context.cancellation.isCancelled())
        co_return false;
    // A server that may not be asked now begins a stream that is not resumed here.
    if (this->isRunVersionShown || (incarnation == Incarnation::NotAsked && !this->version))
        co_return true;
    bool isOther = incarnation == Incarnation::Other;
    this->noteBrokenStream(
        answer, server, isOther ? "the server has started again" : "the server has not stated its start");
    // The run may be what has ended its server.
    co_await this->state.noteLostRun(server, this->context.request);
    if (isOther)
        this->state.health.record(server, ServerCallResult::Superseded, this->state.now());
    co_return false;
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
        this->broker->noteFirstEvent(this->state.now(), this->state.now() - this->reservedAt);
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

void GenerationCall::recordEvents(const ServerRecord& server, TimePoint waitBegan)
{
    std::uint32_t events = this->framer.events();
    TimePoint arrivedAt = this->lastPieceAt;
    bool isFirst = this->recordedAt == TimePoint {};
    Duration took = arrivedAt - this->recordedAt;
    // The time that a slow caller took to read says nothing of the server.
    bool isOwnTime = !isFirst && arrivedAt - waitBegan >= took / 2;
    if (isOwnTime && events > this->recordedEvents)
        this->state.pace.recordEvents(
            server, events - this->recordedEvents, took, this->context.route.gapTarget, arrivedAt);
    if (isFirst || events > this->recordedEvents) {
        this->recordedEvents = events;
        this->recordedAt = arrivedAt;
    }
}

void GenerationCall::noteBegun()
{
    if (!this->version) {
        this->version = this->runVersion;
        this->isOriginShown = this->isRunVersionShown;
    }
    if (this->context.route.isResumable && this->isOriginShown)
        this->originLog.noteBegun(
            this->context.request, this->context.route, { this->context.service, *this->version });
}

void GenerationCall::noteBrokenStream(ServerAnswer& answer, const ServerId& server, std::string detail)
{
    TimePoint now = this->state.now();
    this->mayBeComplete = false;
    this->lastDetail = std::move(detail);
    this->failure = timeLeft(this->state, this->context).count() == 0 ? "deadline_passed" : "server_lost";
    this->state.health.record(server, ServerCallResult::Unreachable, now);
    this->context.trace.addFailure(now, "stream_broken",
        { { "server", server.raw() }, { "framing", std::string { nameOf(answer.framing()) } },
            { "request_write", std::string { nameOf(answer.requestWriteState()) } },
            { "events", std::to_string(this->framer.events()) },
            { "partial_event", this->framer.hasPartialEvent() ? "true" : "false" },
            { "left_ms", millisecondsText(timeLeft(this->state, this->context)) },
            { "detail", this->lastDetail } });
    this->framer.dropPartialEvent();
}

asio::awaitable<GenerationCall::Next> GenerationCall::forwardErrorAnswer(
    ServerAnswer& answer, std::shared_ptr<ServerClient> client)
{
    const ServerId server = client->record().id;
    auto watch = this->state.watchServer(client, answer.framing());
    HttpResponse response = answer.head().response;
    this->context.cancellation.setHandler([&answer] { answer.abort(); });
    BodyMemory::Share share(&this->state.answerMemory);
    auto body
        = co_await readWholeBody(answer, this->context.deadline, { GatewayState::MaxAnswerBytes, &share });
    this->context.cancellation.clearHandler();
    this->bodyEndedAt = this->state.now();
    if (std::holds_alternative<std::string>(body)) {
        bool isBrokenOff
            = co_await this->state.isBrokenOff(watch, this->context.request, this->endCheckTimes());
        if (isBrokenOff)
            body = NetError { NetErrorKind::Closed, true, std::string { GatewayState::EndedWithAnswer } };
    }
    if (auto* error = std::get_if<NetError>(&body)) {
        this->lastDetail = error->detail;
        this->state.health.record(server, ServerCallResult::Unreachable, this->state.now());
        this->context.trace.addFailure(this->state.now(), "answer_incomplete",
            { { "server", server.raw() }, { "kind", std::string { nameOf(error->kind) } },
                { "detail", error->detail } });
        co_return Next::Retry;
    }
    response.body = std::get<std::string>(std::move(body));
    this->state.health.record(server, ServerCallResult::ServerError, this->state.now());
    std::uint16_t status = response.status;
    co_await this->context.exchange.respond(std::move(response));
    noteAnswered(this->state, this->context,
        { status, server.raw(), this->rounds, answer.framing(), answer.requestWriteState(), {} });
    co_return Next::Done;
}

EndCheckTimes GenerationCall::endCheckTimes() const
{
    Duration timeout
        = std::min<Duration>(timeLeft(this->state, this->context), GatewayState::MaxEndCheckTime);
    if (this->isStallWatched())
        timeout = std::min<Duration>(timeout, this->context.route.gapTarget * StallGapCount);
    // A stream that cannot be resumed has the time to prove a new connection.
    bool hasTime = this->hasBegun && !this->isStallWatched();
    Duration allowance = hasTime ? Duration::zero() : Duration { ServerLiveness::NewConnectionAllowance };
    return { std::min<Duration>(SettleTime, timeout / 2), timeout, allowance };
}

Duration GenerationCall::readTimeout() const
{
    Duration left
        = std::max<Duration>(this->context.deadline - this->state.now(), std::chrono::milliseconds { 1 });
    if (!this->isStallWatched())
        return left;
    return std::min(left, std::max<Duration>(this->stallTimeLeft(), std::chrono::milliseconds { 1 }));
}

bool GenerationCall::isStallWatched() const
{
    return this->hasBegun && this->canResume() && this->context.route.gapTarget.count() > 0;
}

Duration GenerationCall::stallTimeLeft() const
{
    return this->progressAt + this->context.route.gapTarget * StallGapCount - this->state.now();
}

} // namespace peridotgrade
