// Handlers of the fake engine's HTTP interface.
#include "engine_http.h"

#include "answer.h"
#include "kv_import.h"

#include "../common/json_body.h"
#include "../common/pause.h"

#include <boost/json/object.hpp>

#include <algorithm>

namespace peridotgrade::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::string_view StreamPrefix = "/v1/streams/";
    constexpr std::string_view KvPrefix = "/v1/kv/";
    constexpr std::uint64_t KvChunkBytes = 16 * 1024;
    constexpr std::uint64_t NormalPriority = 1;
    constexpr std::uint64_t DefaultTransferTimeoutMs = 5000;
    constexpr std::chrono::milliseconds PollInterval { 10 };

    StreamTaskPointer taskFrom(const json::object& body, const asio::any_io_executor& executor)
    {
        auto task = std::make_shared<StreamTask>(executor);
        task->stream = stringOf(body, "stream");
        task->model = stringOf(body, "model");
        task->prompt = stringOf(body, "prompt");
        task->promptTokens = (task->prompt.size() + PieceBytes - 1) / PieceBytes;
        task->priority = static_cast<std::uint32_t>(numberOf(body, "priority", NormalPriority));
        task->nextIndex = static_cast<std::uint32_t>(numberOf(body, "first_index"));
        task->endIndex = task->nextIndex + static_cast<std::uint32_t>(numberOf(body, "max_tokens"));
        task->originalPrompt = std::string { originalPrompt(task->prompt, task->nextIndex) };
        task->answerLength = answerLength(task->originalPrompt);
        return task;
    }

    HttpResponse refusalResponse(StartRefusal refusal)
    {
        if (refusal == StartRefusal::UnknownModel)
            return errorResponse(404, "model_not_found", "the model is not loaded");
        if (refusal == StartRefusal::StreamInUse)
            return errorResponse(409, "stream_in_use", "the stream id is in use");
        return errorResponse(503, "full", "no batch slot or KV memory is free");
    }

    HttpResponse prefillResponse(const StreamTask& task, std::uint64_t keptForMs)
    {
        if (task.state == StreamTaskState::Cancelled)
            return errorResponse(410, "cancelled", "the stream was cancelled");
        json::object body;
        body["kv_handle"] = task.kvHandle;
        body["kv_bytes"] = task.kvBytes;
        body["prompt_tokens"] = task.promptTokens;
        body["cached_tokens"] = task.cachedTokens;
        body["kept_for_ms"] = keptForMs;
        return jsonResponse(200, body);
    }

    HttpResponse importFailure(ImportResult result)
    {
        if (result == ImportResult::Stalled)
            return errorResponse(424, "transfer_stalled", "KV cache transfer timed out");
        return errorResponse(424, "kv_gone", "KV cache is not available from the exporter");
    }

} // namespace

asio::awaitable<void> EngineHttp::serve(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    std::string path { request.path() };
    if (path == "/v1/prefill" && request.method == "POST")
        co_return co_await this->prefill(exchange);
    if (path == "/v1/decode" && request.method == "POST")
        co_return co_await this->decode(exchange);
    if (path == "/v1/cache-events")
        co_return co_await this->cacheEvents(exchange);
    if (path.rfind(StreamPrefix, 0) == 0 && request.method == "DELETE")
        co_return co_await this->cancel(exchange, path.substr(StreamPrefix.size()));
    if (path.rfind(KvPrefix, 0) == 0)
        co_return co_await this->exportKv(exchange, path.substr(KvPrefix.size()));
    HttpResponse response = errorResponse(404, "not_found", path);
    if (path == "/v1/state")
        response = jsonResponse(200, this->engine.state());
    else if (path == "/v1/load")
        response = jsonResponse(200, this->engine.laggingLoad());
    else if (path == "/v1/streams")
        response = jsonResponse(200, this->engine.streams());
    else if (path == "/v1/orders" && request.method == "POST")
        response = this->applyCommand(request);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> EngineHttp::prefill(HttpExchange& exchange)
{
    auto body = objectFrom(exchange.request());
    StreamTaskPointer task = taskFrom(body.value_or(json::object {}), exchange.executor());
    StartRefusal refusal = this->engine.startPrefill(task);
    if (refusal != StartRefusal::None) {
        HttpResponse refused = refusalResponse(refusal);
        co_await exchange.respond(std::move(refused));
        co_return;
    }
    while (!task->hasEnded())
        co_await task->waitForChange();
    if (task->state == StreamTaskState::Dropped) {
        exchange.abort();
        co_return;
    }
    HttpResponse response = prefillResponse(*task, this->engine.settings().keptForMs);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> EngineHttp::decode(HttpExchange& exchange)
{
    auto body = objectFrom(exchange.request()).value_or(json::object {});
    StreamTaskPointer task = taskFrom(body, exchange.executor());
    StartRefusal refusal = this->engine.startDecode(task);
    if (refusal != StartRefusal::None) {
        HttpResponse refused = refusalResponse(refusal);
        co_await exchange.respond(std::move(refused));
        co_return;
    }
    const json::value* kv = body.if_contains("kv");
    if (!kv || !kv->is_object()) {
        this->engine.computePrompt(task);
        co_return co_await this->streamTokens(exchange, task);
    }
    std::chrono::milliseconds timeout { numberOf(body, "transfer_timeout_ms", DefaultTransferTimeoutMs) };
    std::string exporter = stringOf(kv->as_object(), "exporter");
    std::string handle = stringOf(kv->as_object(), "handle");
    ImportResult result = co_await importKv(task, std::move(exporter), std::move(handle), timeout);
    if (result == ImportResult::Imported || task->hasEnded()) {
        this->engine.joinBatch(task);
        co_return co_await this->streamTokens(exchange, task);
    }
    this->engine.fail(task);
    HttpResponse failed = importFailure(result);
    co_await exchange.respond(std::move(failed));
}

asio::awaitable<void> EngineHttp::streamTokens(HttpExchange& exchange, StreamTaskPointer task)
{
    if (task->state == StreamTaskState::Cancelled) {
        HttpResponse cancelled = errorResponse(410, "cancelled", "the stream was cancelled");
        co_await exchange.respond(std::move(cancelled));
        co_return;
    }
    HttpResponse head;
    head.contentType = "text/event-stream";
    bool isConnected = co_await exchange.beginStream(std::move(head));
    while (isConnected && (!task->hasEnded() || !task->pending.empty())) {
        if (task->pending.empty()) {
            co_await task->waitForChange();
            continue;
        }
        std::string events = std::exchange(task->pending, {});
        isConnected = co_await exchange.writeChunk(std::move(events));
    }
    if (!isConnected)
        co_return;
    if (task->state == StreamTaskState::Dropped) {
        exchange.abort();
        co_return;
    }
    if (task->state == StreamTaskState::Cancelled) {
        std::string cancelled = "data: {\"error\":{\"type\":\"cancelled\"}}\n\n";
        co_await exchange.writeChunk(std::move(cancelled));
    }
    co_await exchange.endStream();
}

asio::awaitable<void> EngineHttp::cancel(HttpExchange& exchange, std::string stream)
{
    EngineSettings& settings = this->engine.settings();
    if (settings.failCancels > 0) {
        --settings.failCancels;
        HttpResponse failure = errorResponse(503, "unavailable", "injected failure");
        co_await exchange.respond(std::move(failure));
        co_return;
    }
    this->engine.cancel(stream);
    if (settings.loseCancelAnswers > 0) {
        --settings.loseCancelAnswers;
        exchange.abort();
        co_return;
    }
    HttpResponse response = jsonResponse(200, json::object {});
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> EngineHttp::exportKv(HttpExchange& exchange, std::string handle)
{
    KvExports::Export* exported = this->engine.beginExport(handle);
    if (!exported) {
        HttpResponse notFound
            = errorResponse(404, "kv_gone", "KV handle is unknown, or its cache was evicted");
        co_await exchange.respond(std::move(notFound));
        co_return;
    }
    bool isComplete = co_await this->sendKv(exchange, exported->bytes);
    this->engine.endExport(handle, isComplete);
}

asio::awaitable<bool> EngineHttp::sendKv(HttpExchange& exchange, std::uint64_t bytes)
{
    std::uint64_t startIncarnation = this->engine.incarnation();
    bool isDisconnected = false;
    exchange.onClientDisconnect([&isDisconnected] { isDisconnected = true; });
    HttpResponse head;
    head.contentType = "application/octet-stream";
    bool isConnected = co_await exchange.beginStream(std::move(head));
    std::uint64_t bytesLeft = bytes;
    while (isConnected && !isDisconnected && bytesLeft > 0) {
        if (this->engine.settings().isStalled) {
            co_await pause(exchange.executor(), PollInterval);
            continue;
        }
        std::uint64_t size = std::min(bytesLeft, KvChunkBytes);
        auto due = this->engine.scheduleOnLink(size);
        co_await pause(exchange.executor(), due - StandinClock::now());
        if (startIncarnation != this->engine.incarnation()) {
            exchange.abort();
            co_return false;
        }
        std::string chunk(size, '\0');
        isConnected = co_await exchange.writeChunk(std::move(chunk));
        bytesLeft -= size;
    }
    if (!isConnected || isDisconnected)
        co_return false;
    co_return co_await exchange.endStream();
}

asio::awaitable<void> EngineHttp::cacheEvents(HttpExchange& exchange)
{
    std::uint64_t from = queryNumber(exchange.request(), "from", 0);
    auto deadline
        = StandinClock::now() + std::chrono::milliseconds { queryNumber(exchange.request(), "wait_ms", 0) };
    bool isDisconnected = false;
    exchange.onClientDisconnect([&isDisconnected] { isDisconnected = true; });
    while (!isDisconnected && !this->engine.cacheEvents().hasEvents(from) && StandinClock::now() < deadline)
        co_await pause(exchange.executor(), PollInterval);
    HttpResponse response = jsonResponse(200, this->engine.cacheEvents().page(from));
    co_await exchange.respond(std::move(response));
}

HttpResponse EngineHttp::applyCommand(const HttpRequest& request)
{
    auto body = objectFrom(request);
    if (!body)
        return errorResponse(400, "invalid_request", "the body is not a JSON object");
    return this->engine.models().applyCommand(*body);
}

} // namespace peridotgrade::standins
