// Authentication and dispatch of requests on the callers' port.
#include "caller_api.h"

#include "peridotgrade/callers/call_path.h"
#include "peridotgrade/net/timer_driver.h"
#include "peridotgrade/ops/id_text.h"

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds RetryAfterNotReady { 1000 };

    ApiError notFound()
    {
        ApiError error;
        error.status = 404;
        error.type = "invalid_request_error";
        error.code = "unknown_path";
        error.message = "there is nothing at this path";
        return error;
    }

    ApiError wrongMethod(std::string_view allowed)
    {
        ApiError error;
        error.status = 405;
        error.type = "invalid_request_error";
        error.code = "wrong_method";
        error.message = "this path takes " + std::string { allowed };
        return error;
    }

} // namespace

CallerApi::CallerApi(EntryContext& context, EntryMetrics& metrics, Admission& admission)
    : context(context)
    , metrics(metrics)
    , completions(context, metrics, admission)
    , calls(context, metrics, admission)
{
}

asio::awaitable<void> CallerApi::refuse(HttpExchange& exchange, ApiError error)
{
    std::string id = textOf(this->context.shards.front()->newRequestId());
    HttpResponse response = errorResponse(error, id);
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> CallerApi::handle(HttpExchange& exchange)
{
    if (!this->context.isReady()) {
        Refusal refusal;
        refusal.reason = this->context.isStopping ? RefusalReason::ShuttingDown : RefusalReason::NotReady;
        refusal.retryAfter = RetryAfterNotReady;
        this->metrics.countRefusal(refusal.reason);
        ApiError error = apiErrorFrom(refusal);
        co_await this->refuse(exchange, std::move(error));
        co_return;
    }
    auto configuration = this->context.follower.current();
    auto caller = readCallerRequest(
        exchange.request(), configuration->configuration, this->context.settings.limits, TimerDriver::now());
    if (auto* error = std::get_if<ApiError>(&caller)) {
        bool isUnauthorized = error->status == 401;
        (isUnauthorized ? this->metrics.unauthorizedRequests : this->metrics.malformedRequests).add();
        co_await this->refuse(exchange, std::move(*error));
        co_return;
    }
    CallerRequest callerRequest = std::get<CallerRequest>(std::move(caller));
    co_await this->dispatch(exchange, std::move(callerRequest));
}

asio::awaitable<void> CallerApi::dispatch(HttpExchange& exchange, CallerRequest caller)
{
    const HttpRequest& request = exchange.request();
    std::string_view path = request.path();
    if (path.starts_with(CallPrefix)) {
        co_await this->calls.serve(exchange, std::move(caller));
        co_return;
    }
    bool isText = path == "/v1/completions";
    bool isChat = path == "/v1/chat/completions";
    bool isModels = path == "/v1/models";
    if (!isText && !isChat && !isModels) {
        ApiError error = notFound();
        co_await this->refuse(exchange, std::move(error));
        co_return;
    }
    std::string_view method = isModels ? "GET" : "POST";
    if (request.method != method) {
        ApiError error = wrongMethod(method);
        co_await this->refuse(exchange, std::move(error));
        co_return;
    }
    if (isModels) {
        co_await this->completions.listModels(exchange);
        co_return;
    }
    CompletionShape shape = isChat ? CompletionShape::Chat : CompletionShape::Text;
    co_await this->completions.serve(exchange, shape, std::move(caller));
}

} // namespace peridotgrade
