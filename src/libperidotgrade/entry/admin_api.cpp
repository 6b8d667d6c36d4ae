// Request handling of an entry's admin port.
#include "admin_api.h"

#include "peridotgrade/callers/api_error.h"
#include "peridotgrade/core/base/key_hash.h"
#include "peridotgrade/operators/node_status.h"

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view BearerPrefix = "Bearer ";

    HttpResponse jsonError(std::uint16_t status, std::string code, std::string message)
    {
        ApiError error;
        error.status = status;
        error.type = "invalid_request_error";
        error.code = std::move(code);
        error.message = std::move(message);
        HttpResponse response;
        response.status = status;
        response.body = errorBody(error);
        return response;
    }

    HttpResponse textResponse(std::string body)
    {
        HttpResponse response;
        response.contentType = "text/plain; version=0.0.4";
        response.body = std::move(body);
        return response;
    }

    const OperatorCredential* credentialOf(const HttpRequest& request, const EntrySettings& settings)
    {
        std::string_view field = request.field("Authorization");
        if (!field.starts_with(BearerPrefix))
            return nullptr;
        return settings.operatorOfKey(keySha256(field.substr(BearerPrefix.size())));
    }

} // namespace

AdminApi::AdminApi(EntryContext& context, OperatorApi& operators)
    : context(context)
    , operators(operators)
{
}

asio::awaitable<void> AdminApi::handle(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    if (OperatorApi::serves(request.path())) {
        co_await this->operators.handle(exchange);
        co_return;
    }
    HttpResponse response
        = request.method == "PUT" ? this->changeLogLevel(request) : this->handleRead(request);
    co_await exchange.respond(std::move(response));
}

HttpResponse AdminApi::handleRead(const HttpRequest& request)
{
    std::string_view path = request.path();
    if (path == "/health/live")
        return textResponse("live\n");
    if (path == "/health/ready") {
        bool isReady = this->context.isReady();
        HttpResponse response = textResponse(isReady ? "ready\n" : "not ready\n");
        response.status = isReady ? 200 : 503;
        return response;
    }
    if (path == "/metrics")
        return textResponse(this->context.metrics.text());
    if (path == "/loglevel")
        return textResponse(std::string { nameOf(this->context.logger.level()) } + "\n");
    if (path == "/status") {
        HttpResponse response;
        const std::string& node = this->context.settings.node.name;
        response.body = nodeStatusJson(node, "entry", this->context.follower, std::nullopt);
        return response;
    }
    if (path == "/timeline") {
        HttpResponse response;
        response.body = this->context.timeline.toJson({ request.query("request"), request.query("subject") });
        return response;
    }
    return jsonError(404, "unknown_path", "there is nothing at this path");
}

HttpResponse AdminApi::changeLogLevel(const HttpRequest& request)
{
    if (request.path() != "/loglevel")
        return jsonError(404, "unknown_path", "there is nothing at this path");
    const OperatorCredential* credential = credentialOf(request, this->context.settings);
    if (credential == nullptr)
        return jsonError(401, "invalid_operator_key", "the field Authorization must hold an operator's key");
    std::string_view name = request.body;
    while (name.ends_with('\n') || name.ends_with('\r'))
        name.remove_suffix(1);
    auto level = logLevelFrom(name);
    if (!level)
        return jsonError(400, "unknown_level", "the body must be trace, debug, info, warn or error");
    this->context.logger.setLevel(*level);
    this->context.logger.write(LogLevel::Warn, "log_level_changed",
        { { "operator", credential->name }, { "to", std::string { nameOf(*level) } } });
    return textResponse(std::string { nameOf(*level) } + "\n");
}

} // namespace peridotgrade
