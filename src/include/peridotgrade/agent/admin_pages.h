// Operator pages of an agent process: health, metrics, timeline, status and log level.
#pragma once

#include "peridotgrade/net/http_server.h"
#include "peridotgrade/ops/logger.h"
#include "peridotgrade/ops/metrics.h"
#include "peridotgrade/ops/timeline.h"

#include <functional>
#include <string>

namespace peridotgrade {

/// Serves `/health/live`, `/health/ready`, `/metrics`, `/timeline?request=&subject=`, `/status` and `PUT
/// /loglevel`. Thread safe.
class AdminPages {
public:
    /// `status` returns the JSON body of `/status`. Both functions must be thread safe.
    AdminPages(MetricsRegistry& metrics, Timeline& timeline, Logger& logger, std::function<bool()> isReady,
        std::function<std::string()> status);

    boost::asio::awaitable<void> serve(HttpExchange& exchange);

private:
    HttpResponse page(const HttpRequest& request);
    HttpResponse changeLogLevel(const HttpRequest& request);

    MetricsRegistry& metrics;
    Timeline& timeline;
    Logger& logger;
    const std::function<bool()> isReady;
    const std::function<std::string()> status;
};

} // namespace peridotgrade
