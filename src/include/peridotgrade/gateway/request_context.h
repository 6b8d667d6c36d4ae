// Context of one request while the gateway handles it.
#pragma once

#include "peridotgrade/core/serving/request_priority.h"
#include "peridotgrade/core/serving/routing_configuration.h"
#include "peridotgrade/core/serving/server_record.h"
#include "peridotgrade/gateway/cancellation_signal.h"
#include "peridotgrade/gateway/gateway_request.h"
#include "peridotgrade/gateway/quota_charge.h"
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
    /// The tenant whose key the caller showed; null if there is none.
    const Tenant* tenant;
    /// 0 is the most urgent.
    RequestPriority priority;
    ServiceId service;
    /// The only software version that may serve the request, if it resumes a stream.
    std::optional<SoftwareVersion> version;
    /// The caller's time-out or the route's, whichever ends first.
    TimePoint deadline;
    CancellationSignal& cancellation;
    RequestTrace trace;
    /// What the request was charged to the quota of its tenant.
    QuotaCharge quota {};
};

/// False for a caller's retry, which brings less time than the route allows.
bool isFirstAttempt(const RequestContext& context);

} // namespace peridotgrade
