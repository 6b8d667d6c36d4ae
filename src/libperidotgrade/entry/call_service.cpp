// Serving of one application call, from parsing to the log line.
#include "call_service.h"

#include "call_channel.h"

#include "peridotgrade/callers/call_path.h"
#include "peridotgrade/net/timer_driver.h"
#include "peridotgrade/ops/id_text.h"

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    HttpResponse responseFrom(ApplicationAnswer answer, const std::string& displayId)
    {
        HttpResponse response;
        response.status = answer.status;
        response.contentType = std::move(answer.contentType);
        for (HeaderField& field : answer.headers)
            response.fields.push_back({ std::move(field.name), std::move(field.value) });
        response.fields.push_back(
            { std::string { OutcomeFieldName }, std::string { nameOf(Outcome::Answered) } });
        response.fields.push_back({ std::string { RequestIdFieldName }, displayId });
        response.body = std::move(answer.body);
        return response;
    }

    /// The response to the caller and its outcome for the log.
    struct CallResponse {
        HttpResponse response;
        Outcome outcome = Outcome::Answered;
        std::string reason;
    };

    CallResponse responseTo(CallEnd end, const std::string& displayId)
    {
        CallResponse result;
        if (auto* refusal = std::get_if<Refusal>(&end)) {
            ApiError error = apiErrorFrom(*refusal);
            result.response = errorResponse(error, displayId);
            result.outcome = refusal->outcome;
            result.reason = error.code;
            return result;
        }
        result.response = responseFrom(std::get<ApplicationAnswer>(std::move(end)), displayId);
        return result;
    }

} // namespace

CallService::CallService(EntryContext& context, EntryMetrics& metrics, Admission& admission)
    : context(context)
    , metrics(metrics)
    , admission(admission)
{
}

EntryShard& CallService::shardFor(const IdempotencyKey& key)
{
    // Repeated requests with one key go to the same shard, which saves claims; correctness does not depend
    // on it.
    bool isRead = key.raw().empty();
    std::size_t number = isRead ? this->roundRobinCounter.fetch_add(1, std::memory_order_relaxed)
                                : std::hash<std::string> {}(key.raw());
    return *this->context.shards[number % this->context.shards.size()];
}

asio::awaitable<void> CallService::serve(HttpExchange& exchange, CallerRequest caller)
{
    auto parsed = parseCall(exchange.request());
    auto* path = std::get_if<CallPath>(&parsed);
    EntryShard& shard = this->shardFor(path == nullptr ? IdempotencyKey {} : path->key);
    RequestId id = shard.newRequestId();
    std::string displayId = caller.displayId(id);
    if (path == nullptr) {
        this->metrics.malformedRequests.add();
        HttpResponse response = errorResponse(std::get<ApiError>(parsed), displayId);
        co_await exchange.respond(std::move(response));
        co_return;
    }

    constexpr std::uint32_t NoTokens = 0;
    auto limited = this->admission.admit(caller.workspace, NoTokens, caller.arrivedAt);
    if (limited) {
        this->metrics.countRefusal(limited->reason);
        this->metrics.countOutcome(limited->outcome);
        ApiError error = apiErrorFrom(*limited);
        HttpResponse response = errorResponse(error, displayId);
        co_await exchange.respond(std::move(response));
        co_return;
    }

    this->metrics.calls.add();
    TimelineEvent arrived;
    arrived.kind = EventKind::RequestArrived;
    arrived.at = caller.arrivedAt;
    arrived.attempt.request = id;
    arrived.detail = caller.callerRequestId;
    this->context.timeline.record(std::move(arrived));

    CallRequest request;
    request.id = id;
    request.workspace = caller.workspace.id;
    request.service = path->service;
    request.key = path->key;
    request.call = std::move(path->call);
    request.deadline = caller.deadline;
    auto channel = std::make_shared<CallChannel>(exchange.executor());
    exchange.onClientDisconnect([channel] { channel->markDisconnected(); });
    shard.submit(std::move(request), channel);

    CallEnd end = co_await channel->wait();
    if (std::holds_alternative<CallerDisconnected>(end)) {
        shard.cancel(id);
        this->metrics.cancelled.add();
        this->context.logger.write(LogLevel::Info, "call_ended", id,
            { { "caller_request", caller.callerRequestId }, { "service", path->service.raw() },
                { "outcome", "cancelled" } });
        co_return;
    }
    if (auto* refusal = std::get_if<Refusal>(&end))
        this->metrics.countRefusal(refusal->reason);
    CallResponse result = responseTo(std::move(end), displayId);
    this->metrics.countOutcome(result.outcome);
    std::uint16_t status = result.response.status;
    co_await exchange.respond(std::move(result.response));
    this->context.logger.write(LogLevel::Info, "call_ended", id,
        { { "caller_request", caller.callerRequestId }, { "workspace", caller.workspace.id.raw() },
            { "service", path->service.raw() }, { "key", path->key.raw() },
            { "outcome", std::string { nameOf(result.outcome) } }, { "reason", result.reason },
            { "status", std::to_string(status) } });
}

} // namespace peridotgrade
