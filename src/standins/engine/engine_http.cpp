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

    WorkPointer workFrom(const json::object& body, const asio::any_io_executor& executor)
    {
        auto work = std::make_shared<Work>(executor);
        work->stream = textOf(body, "stream");
        work->model = textOf(body, "model");
        work->prompt = textOf(body, "prompt");
        work->promptTokens = (work->prompt.size() + PieceBytes - 1) / PieceBytes;
        work->priority = static_cast<std::uint32_t>(numberOf(body, "priority", NormalPriority));
        work->nextIndex = static_cast<std::uint32_t>(numberOf(body, "first_index"));
        work->endIndex = work->nextIndex + static_cast<std::uint32_t>(numberOf(body, "max_tokens"));
        work->ownPrompt = std::string { ownPrompt(work->prompt, work->nextIndex) };
        work->answerLength = answerLength(work->ownPrompt);
        return work;
    }

    HttpResponse refusalResponse(StartRefusal refusal)
    {
        if (refusal == StartRefusal::UnknownModel)
            return errorResponse(404, "model_not_found", "the model is not loaded");
        if (refusal == StartRefusal::StreamInUse)
            return errorResponse(409, "stream_in_use", "the stream id is in use");
        return errorResponse(503, "full", "no batch slot or KV memory is free");
    }

    HttpResponse prefillResponse(const Work& work, std::uint64_t keptForMs)
    {
        if (work.state == WorkState::Cancelled)
            return errorResponse(410, "cancelled", "the stream was cancelled");
        json::object body;
        body["kv_handle"] = work.kvHandle;
        body["kv_bytes"] = work.kvBytes;
        body["prompt_tokens"] = work.promptTokens;
        body["cached_tokens"] = work.cachedTokens;
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
        response = this->order(request);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> EngineHttp::prefill(HttpExchange& exchange)
{
    auto body = objectFrom(exchange.request());
    WorkPointer work = workFrom(body.value_or(json::object {}), exchange.executor());
    StartRefusal refusal = this->engine.startPrefill(work);
    if (refusal != StartRefusal::None) {
        HttpResponse refused = refusalResponse(refusal);
        co_await exchange.respond(std::move(refused));
        co_return;
    }
    while (!work->hasEnded())
        co_await work->waitForChange();
    if (work->state == WorkState::Dropped) {
        exchange.abort();
        co_return;
    }
    HttpResponse response = prefillResponse(*work, this->engine.settings().keptForMs);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> EngineHttp::decode(HttpExchange& exchange)
{
    auto body = objectFrom(exchange.request()).value_or(json::object {});
    WorkPointer work = workFrom(body, exchange.executor());
    StartRefusal refusal = this->engine.startDecode(work);
    if (refusal != StartRefusal::None) {
        HttpResponse refused = refusalResponse(refusal);
        co_await exchange.respond(std::move(refused));
        co_return;
    }
    const json::value* kv = body.if_contains("kv");
    if (!kv || !kv->is_object()) {
        this->engine.computePrompt(work);
        co_return co_await this->streamTokens(exchange, work);
    }
    std::chrono::milliseconds timeout { numberOf(body, "transfer_timeout_ms", DefaultTransferTimeoutMs) };
    std::string exporter = textOf(kv->as_object(), "exporter");
    std::string handle = textOf(kv->as_object(), "handle");
    ImportResult result = co_await importKv(work, std::move(exporter), std::move(handle), timeout);
    if (result == ImportResult::Imported || work->hasEnded()) {
        this->engine.joinBatch(work);
        co_return co_await this->streamTokens(exchange, work);
    }
    this->engine.fail(work);
    HttpResponse failed = importFailure(result);
    co_await exchange.respond(std::move(failed));
}

asio::awaitable<void> EngineHttp::streamTokens(HttpExchange& exchange, WorkPointer work)
{
    if (work->state == WorkState::Cancelled) {
        HttpResponse cancelled = errorResponse(410, "cancelled", "the stream was cancelled");
        co_await exchange.respond(std::move(cancelled));
        co_return;
    }
    HttpResponse head;
    head.contentType = "text/event-stream";
    bool isThere = co_await exchange.beginStream(std::move(head));
    while (isThere && (!work->hasEnded() || !work->pending.empty())) {
        if (work->pending.empty()) {
            co_await work->waitForChange();
            continue;
        }
        std::string events = std::exchange(work->pending, {});
        isThere = co_await exchange.writeChunk(std::move(events));
    }
    if (!isThere)
        co_return;
    if (work->state == WorkState::Dropped) {
        exchange.abort();
        co_return;
    }
    if (work->state == WorkState::Cancelled) {
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
    KvExports::Export* kept = this->engine.beginExport(handle);
    if (!kept) {
        HttpResponse gone = errorResponse(404, "kv_gone", "KV handle is unknown, or its cache was evicted");
        co_await exchange.respond(std::move(gone));
        co_return;
    }
    bool isWhole = co_await this->sendKv(exchange, kept->bytes);
    this->engine.endExport(handle, isWhole);
}

asio::awaitable<bool> EngineHttp::sendKv(HttpExchange& exchange, std::uint64_t bytes)
{
    std::uint64_t run = this->engine.incarnation();
    bool isGone = false;
    exchange.onClientDisconnect([&isGone] { isGone = true; });
    HttpResponse head;
    head.contentType = "application/octet-stream";
    bool isThere = co_await exchange.beginStream(std::move(head));
    std::uint64_t left = bytes;
    while (isThere && !isGone && left > 0) {
        if (this->engine.settings().isStalled) {
            co_await pause(exchange.executor(), PollInterval);
            continue;
        }
        std::uint64_t size = std::min(left, KvChunkBytes);
        auto due = this->engine.sendOverLink(size);
        co_await pause(exchange.executor(), due - StandinClock::now());
        if (run != this->engine.incarnation()) {
            exchange.abort();
            co_return false;
        }
        std::string chunk(size, '\0');
        isThere = co_await exchange.writeChunk(std::move(chunk));
        left -= size;
    }
    if (!isThere || isGone)
        co_return false;
    co_return co_await exchange.endStream();
}

asio::awaitable<void> EngineHttp::cacheEvents(HttpExchange& exchange)
{
    std::uint64_t from = queryNumber(exchange.request(), "from", 0);
    auto until
        = StandinClock::now() + std::chrono::milliseconds { queryNumber(exchange.request(), "wait_ms", 0) };
    bool isGone = false;
    exchange.onClientDisconnect([&isGone] { isGone = true; });
    while (!isGone && !this->engine.cacheEvents().hasEvents(from) && StandinClock::now() < until)
        co_await pause(exchange.executor(), PollInterval);
    HttpResponse response = jsonResponse(200, this->engine.cacheEvents().page(from));
    co_await exchange.respond(std::move(response));
}

HttpResponse EngineHttp::order(const HttpRequest& request)
{
    auto body = objectFrom(request);
    if (!body)
        return errorResponse(400, "invalid_request", "the body is not a JSON object");
    return this->engine.models().order(*body);
}

} // namespace peridotgrade::standins
