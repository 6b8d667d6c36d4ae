// One request while the gateway works on it.
#pragma once

#include "peridotgrade/core/serving/service_configuration.h"
#include "peridotgrade/gateway/caller_request.h"
#include "peridotgrade/gateway/interrupt.h"
#include "peridotgrade/net/http_server.h"

#include <memory>

namespace peridotgrade {

struct RequestContext {
    HttpExchange& exchange;
    CallerRequest request;
    /// Keeps `route` and `service` alive after a newer configuration is in force.
    std::shared_ptr<const ServiceConfiguration> configuration;
    const ServiceRoute& route;
    ServiceId service;
    /// The caller's time or the route's, whichever ends first.
    TimePoint deadline;
    Interrupt& interrupt;
};

} // namespace peridotgrade
