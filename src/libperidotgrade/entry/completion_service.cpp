// Serving of one completion, from parsing and admission to the log line.
#include "completion_service.h"

#include "completion_answer.h"

#include "peridotgrade/net/timer_driver.h"
#include "peridotgrade/ops/id_text.h"

#include <boost/json.hpp>

#include <set>

namespace peridotgrade {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    // Maximum text queued for a caller that reads slowly; beyond it the request is cancelled.
    constexpr std::size_t MaxQueuedBytes = 256 * 1024;

    bool isServed(const SiteConfiguration& configuration, const ModelId& model)
    {
        for (const auto& [agent, assignment] : configuration.engines) {
            if (assignment.model == model)
                return true;
        }
        return false;
    }

    bool isRefusedForCapacity(const AnswerEnd& end)
    {
        return end.detail == nameOf(RefusalReason::NoCapacity);
    }

    std::string millisecondsText(std::optional<Duration> value)
    {
        if (!value)
            return "-";
        return std::to_string(std::chrono::floor<std::chrono::milliseconds>(*value).count());
    }

} // namespace

CompletionService::CompletionService(EntryContext& context, EntryMetrics& metrics, Admission& admission)
    : context(context)
    , metrics(metrics)
    , admission(admission)
{
}

EntryShard& CompletionService::nextShard()
{
    std::size_t number = this->roundRobinCounter.fetch_add(1, std::memory_order_relaxed);
    return *this->context.shards[number % this->context.shards.size()];
}

ModelRequest CompletionService::modelRequest(
    const CompletionRequest& request, const CallerRequest& caller, RequestId id) const
{
    ModelRequest result;
    result.id = id;
    result.workspace = caller.workspace.id;
    result.model = request.model;
    result.prompt = request.prompt;
    result.promptTokens = promptTokensOf(request.prompt);
    result.maxOutputTokens = request.maxTokens;
    result.priority = caller.workspace.priority;
    result.deadline = caller.deadline;
    // A patient workspace prefers waiting to a refusal, so its first token is due only at the deadline. Its
    // answers are still measured against the latency targets.
    bool isPatient = result.priority == Priority::Patient;
    TimePoint firstTokenTarget = caller.arrivedAt + this->context.settings.targets.firstToken;
    result.firstTokenDue = isPatient ? caller.deadline : std::min(firstTokenTarget, caller.deadline);
    return result;
}

asio::awaitable<void> CompletionService::serve(
    HttpExchange& exchange, CompletionShape shape, CallerRequest caller)
{
    EntryShard& shard = this->nextShard();
    RequestId id = shard.newRequestId();
    std::string displayId = caller.displayId(id);
    auto parsed
        = parseCompletion(shape, exchange.request().body, this->context.settings.limits.maxOutputTokens);
    if (auto* error = std::get_if<ApiError>(&parsed)) {
        this->metrics.malformedRequests.add();
        HttpResponse response = errorResponse(*error, displayId);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    CompletionRequest& request = std::get<CompletionRequest>(parsed);
    auto configuration = this->context.follower.current();
    if (!isServed(configuration->configuration, request.model)) {
        Refusal refusal;
        refusal.reason = RefusalReason::ModelNotServed;
        co_await this->refuse(exchange, refusal, displayId);
        co_return;
    }
    auto limited = this->admission.admit(caller.workspace, request.maxTokens, caller.arrivedAt);
    if (limited) {
        co_await this->refuse(exchange, *limited, displayId);
        co_return;
    }
    auto ticket = this->admission.acquireTicket(caller.workspace, request.model.raw(), caller.arrivedAt);
    if (auto* refusal = std::get_if<Refusal>(&ticket)) {
        this->admission.refund(caller.workspace, request.maxTokens);
        co_await this->refuse(exchange, *refusal, displayId);
        co_return;
    }

    this->metrics.modelRequests.add();
    this->recordArrival(caller, id);
    CompletionWriter writer(request, id, TimerDriver::wallNow());
    AnswerTiming timing(caller.arrivedAt, this->context.settings.targets, this->metrics);
    auto channel = std::make_shared<AnswerChannel>(exchange.executor(), MaxQueuedBytes);
    exchange.onClientDisconnect([channel] { channel->markDisconnected(); });
    ModelRequest submitted = this->modelRequest(request, caller, id);
    shard.submit(std::move(submitted), channel);

    CompletionAnswer answer(exchange, *channel, writer, timing, this->metrics, displayId);
    AnswerEnd end;
    if (request.isStreaming)
        end = co_await answer.sendStream();
    else
        end = co_await answer.sendWhole();
    if (!end.outcome) {
        shard.cancel(id);
        this->metrics.cancelled.add();
    }
    if (isRefusedForCapacity(end))
        std::get<std::unique_ptr<ScopedAdmissionTicket>>(ticket)->markRefusedForCapacity();
    if (end.outputTokens < request.maxTokens)
        this->admission.refund(caller.workspace, request.maxTokens - end.outputTokens);
    this->logEnd(request, caller, id, end, timing.timeToFirstToken());
}

asio::awaitable<void> CompletionService::refuse(
    HttpExchange& exchange, Refusal refusal, std::string displayId)
{
    this->metrics.countRefusal(refusal.reason);
    this->metrics.countOutcome(refusal.outcome);
    ApiError error = apiErrorFrom(refusal);
    if (refusal.reason == RefusalReason::ModelNotServed)
        error.param = "model";
    HttpResponse response = errorResponse(error, displayId);
    co_await exchange.respond(std::move(response));
}

void CompletionService::recordArrival(const CallerRequest& caller, RequestId id)
{
    TimelineEvent arrived;
    arrived.kind = EventKind::RequestArrived;
    arrived.at = caller.arrivedAt;
    arrived.attempt.request = id;
    arrived.detail = caller.callerRequestId;
    this->context.timeline.record(std::move(arrived));
}

void CompletionService::logEnd(const CompletionRequest& request, const CallerRequest& caller, RequestId id,
    const AnswerEnd& end, std::optional<Duration> timeToFirstToken)
{
    std::string_view outcome = end.outcome ? nameOf(*end.outcome) : std::string_view { "cancelled" };
    auto took = TimerDriver::now() - caller.arrivedAt;
    this->context.logger.write(LogLevel::Info, "request_ended", id,
        { { "caller_request", caller.callerRequestId }, { "workspace", caller.workspace.id.raw() },
            { "model", request.model.raw() }, { "outcome", std::string { outcome } },
            { "reason", end.detail }, { "tokens", std::to_string(end.outputTokens) },
            { "first_token_ms", millisecondsText(timeToFirstToken) },
            { "took_ms", millisecondsText(took) } });
}

asio::awaitable<void> CompletionService::listModels(HttpExchange& exchange)
{
    auto configuration = this->context.follower.current();
    std::set<ModelId> models;
    for (const auto& [agent, assignment] : configuration->configuration.engines)
        models.insert(assignment.model);
    json::array list;
    for (const ModelId& model : models) {
        json::object entry;
        entry["id"] = model.raw();
        entry["object"] = "model";
        entry["owned_by"] = "peridotgrade";
        list.push_back(std::move(entry));
    }
    json::object body;
    body["object"] = "list";
    body["data"] = std::move(list);
    HttpResponse response;
    response.body = json::serialize(body);
    co_await exchange.respond(std::move(response));
}

} // namespace peridotgrade
