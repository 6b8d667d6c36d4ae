// Route and key of a caller's request.
#pragma once

#include "peridotgrade/gateway/caller_authentication.h"
#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/net/http_message.h"

#include <memory>
#include <optional>

namespace peridotgrade {

struct KeyCheck {
    /// Null before the first one.
    std::shared_ptr<const RoutingConfiguration> configuration;
    /// Null if none matches.
    const ServiceRoute* route;
    CallerAuthentication caller;
    /// The answer to a caller that is not accepted.
    std::optional<HttpResponse> rejection;
};

/// Finds the route of a request and checks its caller's key. A rejection is logged.
KeyCheck checkKey(GatewayState& state, const HttpRequest& request);

} // namespace peridotgrade
