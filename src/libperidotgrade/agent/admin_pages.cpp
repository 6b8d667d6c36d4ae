// Request handling of the operator pages.
#include "peridotgrade/agent/admin_pages.h"

namespace peridotgrade {

namespace {

    HttpResponse plainText(std::uint16_t status, std::string text)
    {
        HttpResponse response;
        response.status = status;
        response.contentType = "text/plain; charset=utf-8";
        response.body = std::move(text);
        return response;
    }

} // namespace

AdminPages::AdminPages(MetricsRegistry& metrics, Timeline& timeline, Logger& logger,
    std::function<bool()> isReady, std::function<std::string()> status)
    : metrics(metrics)
    , timeline(timeline)
    , logger(logger)
    , isReady(std::move(isReady))
    , status(std::move(status))
{
}

boost::asio::awaitable<void> AdminPages::serve(HttpExchange& exchange)
{
    HttpResponse response = this->page(exchange.request());
    co_await exchange.respond(std::move(response));
}

HttpResponse AdminPages::page(const HttpRequest& request)
{
    std::string_view path = request.path();
    if (path == "/loglevel" && request.method == "PUT")
        return this->changeLogLevel(request);
    if (request.method != "GET")
        return plainText(405, "only GET is served here\n");
    if (path == "/health/live")
        return plainText(200, "live\n");
    if (path == "/health/ready")
        return this->isReady() ? plainText(200, "ready\n") : plainText(503, "not ready\n");
    if (path == "/metrics")
        return plainText(200, this->metrics.text());
    HttpResponse response;
    if (path == "/status") {
        response.body = this->status();
        return response;
    }
    if (path != "/timeline")
        return plainText(404, "no such page\n");
    TimelineQuery query;
    query.request = request.query("request");
    query.subject = request.query("subject");
    response.body = this->timeline.toJson(query);
    return response;
}

HttpResponse AdminPages::changeLogLevel(const HttpRequest& request)
{
    std::string_view name = request.body;
    while (!name.empty() && (name.back() == '\n' || name.back() == '\r'))
        name.remove_suffix(1);
    auto level = logLevelFrom(name);
    if (!level)
        return plainText(400, "the body has to be trace, debug, info, warn or error\n");
    this->logger.setLevel(*level);
    this->logger.write(LogLevel::Info, "log_level_changed", { { "level", std::string { nameOf(*level) } } });
    return plainText(200, std::string { nameOf(*level) } + "\n");
}

} // namespace peridotgrade
