// Responses and log lines that end a request.
#include "peridotgrade/gateway/final_answer.h"

#include "peridotgrade/core/quarantine/request_content.h"
#include "peridotgrade/core/serving/retry_after.h"
#include "platform/caller_protocol.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    constexpr std::uint16_t FirstFailure = 300;

    void writeTrace(GatewayState& state, RequestContext& context, bool hasFailed)
    {
        for (const RequestTrace::Line& line : context.trace.end(hasFailed))
            state.log.write(LogLevel::Info, line.event, line.fields);
    }

    // The parts of a longer prompt do not fit a line.
    constexpr std::size_t MaxLoggedParts = 8;

    void logEnd(GatewayState& state, RequestContext& context, std::string_view outcome,
        std::string_view reason, std::string_view server, std::string_view detail)
    {
        state.metrics.countOutcome(std::string { outcome });
        writeTrace(state, context, true);
        state.log.write(LogLevel::Info, "request_ended",
            { { "request", context.request.attempt }, { "outcome", std::string { outcome } },
                { "reason", std::string { reason } }, { "client", context.request.clientAddress },
                { "content", textOf(context.request.fingerprint) },
                { "content_of", describe(context.request.content()) },
                { "prompt_parts", textOf(context.request.promptParts, MaxLoggedParts) },
                { "route", context.route.name }, { "service", context.service.raw() },
                { "server", std::string { server } },
                { "took_ms", millisecondsText(state.now() - context.request.arrivedAt) },
                { "left_ms", millisecondsText(context.deadline - state.now()) },
                { "config", std::to_string(context.configuration->version.raw()) },
                { "detail", std::string { detail } } });
    }

    /// Sends a response that no server has made.
    boost::asio::awaitable<void> respondItself(
        GatewayState& state, RequestContext& context, HttpResponse response)
    {
        state.metrics.countOwnAnswer(response.status);
        co_await context.exchange.respond(std::move(response));
    }

} // namespace

std::chrono::milliseconds timeLeft(const GatewayState& state, const RequestContext& context)
{
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(context.deadline - state.now());
    return std::max(left, std::chrono::milliseconds { 0 });
}

boost::asio::awaitable<void> answerNotRun(GatewayState& state, RequestContext& context,
    std::string_view reason, std::optional<std::chrono::milliseconds> retryAfter, std::string_view server)
{
    context.quota.refund();
    state.metrics.countRefusal(std::string { reason });
    if (context.request.urgency)
        state.metrics.countRefusalByPriority(*context.request.urgency);
    std::string detail = retryAfter ? "retry_after_ms " + std::to_string(retryAfter->count()) : "";
    logEnd(state, context, "not_run", reason, server, detail);
    co_await respondItself(state, context, notRunResponse(reason, retryAfter));
}

boost::asio::awaitable<void> answerQuarantined(GatewayState& state, RequestContext& context)
{
    auto suspect = state.crashes.quarantinedAmong(context.request.suspects());
    if (!suspect) {
        // The next trial decides within seconds.
        co_await answerNotRun(
            state, context, "probation", chooseRetryAfter(timeLeft(state, context), state.random));
        co_return;
    }
    Duration held = state.crashes.heldFor(*suspect, state.now()).value_or(Duration::zero());
    context.trace.addFailure(
        state.now(), "rejected_early", { { "reason", "quarantined" }, { "content", textOf(*suspect) } });
    co_await answerNotRun(state, context, "quarantined", std::chrono::ceil<std::chrono::milliseconds>(held));
}

boost::asio::awaitable<void> answerOverQuota(
    GatewayState& state, RequestContext& context, std::chrono::milliseconds retryAfter)
{
    state.metrics.countRefusal("over_quota");
    logEnd(
        state, context, "not_run", "over_quota", {}, "retry_after_ms " + std::to_string(retryAfter.count()));
    co_await respondItself(state, context, overQuotaResponse(retryAfter));
}

boost::asio::awaitable<void> answerFailed(GatewayState& state, RequestContext& context, std::uint16_t status,
    std::string_view reason, std::string_view server, std::string_view detail)
{
    logEnd(state, context, "unknown", reason, server, detail);
    co_await respondItself(state, context, failureResponse(status, reason));
}

void abortStream(GatewayState& state, RequestContext& context, std::string_view reason,
    std::string_view server, std::string_view detail)
{
    logEnd(state, context, "broken_off", reason, server, detail);
    context.exchange.abort();
}

void noteAnswered(GatewayState& state, RequestContext& context, const SentAnswer& answer)
{
    Duration took = state.now() - context.request.arrivedAt;
    writeTrace(state, context, false);
    // An error says nothing about the parts of the prompt.
    bool isSuccess = answer.status < FirstFailure;
    state.crashes.recordAnswered(
        isSuccess ? context.request.suspects() : std::vector<Suspect> { context.request.fingerprint },
        state.now());
    state.metrics.countOutcome("answered");
    state.metrics.addAnswer(took);
    const auto& stream = answer.stream;
    if (stream)
        state.metrics.addFirstEvent(stream->firstEvent);
    state.log.write(LogLevel::Info, "request_ended",
        { { "request", context.request.attempt }, { "outcome", "answered" },
            { "status", std::to_string(answer.status) }, { "content", textOf(context.request.fingerprint) },
            { "route", context.route.name }, { "service", context.service.raw() },
            { "server", answer.server }, { "attempts", std::to_string(answer.attempts) },
            { "framing", std::string { nameOf(answer.framing) } },
            { "request_write", std::string { nameOf(answer.requestWriteState) } },
            { "first_event_ms", stream ? millisecondsText(stream->firstEvent) : "" },
            { "longest_pause_ms", stream ? millisecondsText(stream->longestPause) : "" },
            { "events", stream ? std::to_string(stream->events) : "" },
            { "expected_output", stream ? std::to_string(stream->expectedOutputTokens) : "" },
            { "output", stream ? std::to_string(stream->outputTokens) : "" },
            { "partial_event", stream ? (stream->hasPartialEvent ? "true" : "false") : "" },
            { "took_ms", millisecondsText(took) } });
}

void noteCallerDisconnected(GatewayState& state, RequestContext& context, std::string_view phase)
{
    logEnd(state, context, "caller_gone", phase, {}, {});
}

} // namespace peridotgrade
