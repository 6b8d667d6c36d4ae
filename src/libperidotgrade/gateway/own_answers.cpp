// Refusals of requests that reach no server.
#include "peridotgrade/gateway/own_answers.h"

#include "peridotgrade/core/serving/retry_after.h"
#include "peridotgrade/gateway/key_check.h"
#include "platform/caller_protocol.h"

namespace peridotgrade {

OwnAnswers::OwnAnswers(GatewayState& state)
    : state(state)
{
}

boost::asio::awaitable<void> OwnAnswers::send(HttpExchange& exchange, HttpResponse response)
{
    this->state.metrics.countOwnAnswer(response.status);
    co_await exchange.respond(std::move(response));
}

boost::asio::awaitable<void> OwnAnswers::reject(HttpExchange& exchange, const GatewayRequest& request,
    std::string_view reason, std::chrono::milliseconds timeLeft)
{
    auto retryAfter = chooseRetryAfter(timeLeft, this->state.random);
    this->state.metrics.countRefusal(std::string { reason });
    this->state.log.write(LogLevel::Info, "request_ended",
        { { "request", request.attempt }, { "outcome", "not_run" }, { "reason", std::string { reason } } });
    co_await this->send(exchange, notRunResponse(reason, retryAfter));
}

HttpResponse OwnAnswers::unread(const HttpRequest& request, UnreadReason reason)
{
    // The header of a request that is cut short by the stop may be incomplete, which says nothing of its key.
    bool isStopping = reason == UnreadReason::Stopping;
    auto unauthorized = isStopping ? std::nullopt : checkKey(this->state, request).rejection;
    HttpResponse response = unauthorized ? std::move(*unauthorized) : this->rejectUnread(request, isStopping);
    this->state.metrics.countOwnAnswer(response.status);
    return response;
}

HttpResponse OwnAnswers::rejectUnread(const HttpRequest& request, bool isStopping)
{
    std::string reason = isStopping ? "stopping" : "no_memory";
    auto parsed = parseCallerRequest(request, {}, this->state.now());
    const auto* read = std::get_if<GatewayRequest>(&parsed);
    auto timeout = read != nullptr ? read->callerTimeout : std::nullopt;
    auto retryAfter = chooseRetryAfter(timeout.value_or(DefaultCallerTimeout), this->state.random);
    this->state.metrics.countRefusal(reason);
    // Null where the bodies of requests are not bounded.
    const BodyMemory* memory = this->state.requestMemory.get();
    this->state.log.write(LogLevel::Info, "request_ended",
        { { "request", read != nullptr ? read->attempt : "" }, { "outcome", "not_run" }, { "reason", reason },
            { "held_bytes", memory != nullptr ? std::to_string(memory->used()) : "" } });
    return notRunResponse(reason, retryAfter);
}

void OwnAnswers::noteRefused(const RefusedRequest& refused)
{
    this->state.metrics.countOwnAnswer(refused.status);
    this->state.log.write(LogLevel::Warn, "request_refused",
        { { "client", refused.client }, { "status", std::to_string(refused.status) },
            { "detail", refused.detail } });
}

void OwnAnswers::noteDropped(const DroppedRequest& dropped)
{
    this->state.metrics.countDroppedRequest(dropped.isClosing);
    this->state.log.write(LogLevel::Warn, "request_dropped",
        { { "client", dropped.client }, { "bytes", std::to_string(dropped.bytes) },
            { "closing", dropped.isClosing ? "true" : "false" } });
}

} // namespace peridotgrade
