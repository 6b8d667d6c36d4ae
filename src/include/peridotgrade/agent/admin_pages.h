// The operators' pages that each process has: health, metrics, time line, log level.
#pragma once

#include "peridotgrade/net/http_server.h"
#include "peridotgrade/ops/logger.h"
#include "peridotgrade/ops/metrics.h"
#include "peridotgrade/ops/timeline.h"

#include <functional>

namespace peridotgrade {

/// Serves `/health/live`, `/health/ready`, `/metrics`, `/timeline?request=&subject=` and `PUT /loglevel`.
/// Thread safe.
class AdminPages {
public:
    /// `isReady` must be thread safe.
    AdminPages(MetricsRegistry& metrics, Timeline& timeline, Logger& logger, std::function<bool()> isReady);

    boost::asio::awaitable<void> serve(HttpExchange& exchange);

private:
    HttpResponse page(const HttpRequest& request);
    HttpResponse changeLogLevel(const HttpRequest& request);

    MetricsRegistry& metrics;
    Timeline& timeline;
    Logger& logger;
    const std::function<bool()> isReady;
};

} // namespace peridotgrade
