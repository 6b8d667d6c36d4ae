// Writing of streamed and whole answers, and of refusals before and after the first event.
#include "completion_answer.h"

namespace peridotgrade {

namespace asio = boost::asio;

namespace {
    constexpr std::chrono::milliseconds RetryAfterNoUsableEngine { 1000 };

    /// Turns ModelNotServed into NoCapacity. The configuration was found to assign engines to the model, so
    /// that none is usable is temporary.
    Refusal asTemporaryRefusal(Refusal refusal)
    {
        if (refusal.reason != RefusalReason::ModelNotServed)
            return refusal;
        refusal.reason = RefusalReason::NoCapacity;
        refusal.retryAfter = RetryAfterNoUsableEngine;
        return refusal;
    }

    AnswerEnd callerDisconnected() { return AnswerEnd { std::nullopt, "caller_gone", 0 }; }
} // namespace

CompletionAnswer::CompletionAnswer(HttpExchange& exchange, AnswerChannel& channel,
    const CompletionWriter& writer, AnswerTiming& timing, EntryMetrics& metrics, std::string displayId)
    : exchange(exchange)
    , channel(channel)
    , writer(writer)
    , timing(timing)
    , metrics(metrics)
    , displayId(std::move(displayId))
{
}

HttpResponse CompletionAnswer::streamHeaders() const
{
    HttpResponse head;
    head.contentType = "text/event-stream";
    head.fields.push_back({ "Cache-Control", "no-cache" });
    head.fields.push_back({ std::string { RequestIdFieldName }, this->displayId });
    return head;
}

asio::awaitable<bool> CompletionAnswer::write(std::string events)
{
    if (this->hasBegun)
        co_return co_await this->exchange.writeChunk(std::move(events));
    this->hasBegun = true;
    HttpResponse head = this->streamHeaders();
    head.body = std::move(events);
    co_return co_await this->exchange.beginStream(std::move(head));
}

AnswerSummary CompletionAnswer::summaryOf(const FinishAnswer& finish) const
{
    return AnswerSummary { finish.finishReason, finish.promptTokens, finish.outputTokens };
}

void CompletionAnswer::countFinish()
{
    this->metrics.countOutcome(Outcome::Answered);
    if (this->timing.isWithinTargets())
        this->metrics.withinTargets.add();
}

asio::awaitable<AnswerEnd> CompletionAnswer::sendStream()
{
    for (;;) {
        AnswerProgress progress = co_await this->channel.next();
        if (progress.isDisconnected)
            co_return callerDisconnected();
        std::string events;
        for (const TokenBatch& batch : progress.batches) {
            this->timing.onBatch(batch);
            for (const std::string& piece : batch.pieces)
                this->writer.appendEvent(events, piece);
        }
        if (progress.finish)
            events += this->writer.finalEvents(this->summaryOf(*progress.finish));
        bool isWritten = true;
        if (!events.empty())
            isWritten = co_await this->write(std::move(events));
        if (!isWritten && !progress.finish)
            co_return callerDisconnected();
        if (progress.refusal)
            co_return co_await this->refuse(*progress.refusal);
        if (progress.finish) {
            this->countFinish();
            co_await this->exchange.endStream();
            co_return AnswerEnd { Outcome::Answered, isWritten ? "" : "caller_gone",
                progress.finish->outputTokens };
        }
    }
}

asio::awaitable<AnswerEnd> CompletionAnswer::sendWhole()
{
    std::string text;
    for (;;) {
        AnswerProgress progress = co_await this->channel.next();
        if (progress.isDisconnected)
            co_return callerDisconnected();
        for (const TokenBatch& batch : progress.batches) {
            this->timing.onBatch(batch);
            for (const std::string& piece : batch.pieces)
                text += piece;
        }
        if (progress.refusal)
            co_return co_await this->refuse(*progress.refusal);
        if (!progress.finish)
            continue;
        this->countFinish();
        HttpResponse response;
        response.fields.push_back(
            { std::string { OutcomeFieldName }, std::string { nameOf(Outcome::Answered) } });
        response.fields.push_back({ std::string { RequestIdFieldName }, this->displayId });
        response.body = this->writer.wholeBody(text, this->summaryOf(*progress.finish));
        bool isWritten = co_await this->exchange.respond(std::move(response));
        co_return AnswerEnd { Outcome::Answered, isWritten ? "" : "caller_gone",
            progress.finish->outputTokens };
    }
}

asio::awaitable<AnswerEnd> CompletionAnswer::refuse(Refusal refusal)
{
    refusal = asTemporaryRefusal(refusal);
    this->metrics.countOutcome(refusal.outcome);
    this->metrics.countRefusal(refusal.reason);
    ApiError error = apiErrorFrom(refusal);
    AnswerEnd end { refusal.outcome, error.code, 0 };
    if (this->hasBegun) {
        std::string events = "data: " + errorBody(error) + "\n\n" + std::string { StreamEnd };
        co_await this->exchange.writeChunk(std::move(events));
        co_await this->exchange.endStream();
        co_return end;
    }
    HttpResponse response = errorResponse(error, this->displayId);
    co_await this->exchange.respond(std::move(response));
    co_return end;
}

} // namespace peridotgrade
