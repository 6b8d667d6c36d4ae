// Context of one request while the gateway handles it.
#pragma once

#include "peridotgrade/core/serving/routing_configuration.h"
#include "peridotgrade/core/serving/server_record.h"
#include "peridotgrade/gateway/cancellation_signal.h"
#include "peridotgrade/gateway/gateway_request.h"
#include "peridotgrade/gateway/request_trace.h"
#include "peridotgrade/net/http_server.h"

#include <memory>
#include <optional>

namespace peridotgrade {

struct RequestContext {
    HttpExchange& exchange;
    GatewayRequest request;
    /// Keeps `route` and `service` alive after a newer configuration is in force.
    std::shared_ptr<const RoutingConfiguration> configuration;
    const ServiceRoute& route;
    ServiceId service;
    /// The only software version that may serve the request, if it resumes a stream.
    std::optional<SoftwareVersion> version;
    /// The caller's time-out or the route's, whichever ends first.
    TimePoint deadline;
    CancellationSignal& cancellation;
    RequestTrace trace;
};

} // namespace peridotgrade
