// Selection of the route by host and path, and the rejection of callers.
#include "peridotgrade/gateway/key_check.h"

#include "platform/caller_protocol.h"

namespace peridotgrade {

namespace {

    /// The host without its port.
    std::string_view hostName(std::string_view host) { return host.substr(0, host.find(':')); }

    const ServiceRoute* routeOf(const RoutingConfiguration& configuration, const HttpRequest& request)
    {
        std::string_view host = request.field("Host");
        const ServiceRoute* route = configuration.routeFor(host, request.path());
        return route != nullptr ? route : configuration.routeFor(hostName(host), request.path());
    }

} // namespace

KeyCheck checkKey(GatewayState& state, const HttpRequest& request)
{
    auto configuration = state.configuration;
    const ServiceRoute* route = configuration ? routeOf(*configuration, request) : nullptr;
    CallerAuthentication caller(configuration.get(), route, request);
    if (caller.result() != AuthenticationResult::NotRequired)
        state.metrics.countAuthentication(std::string { nameOf(caller.result()) });
    if (caller.isAccepted())
        return { configuration, route, caller, std::nullopt };
    state.log.write(LogLevel::Info, "request_ended",
        { { "request", std::string { attemptOf(request) } }, { "outcome", "unauthorized" },
            { "reason", std::string { nameOf(caller.result()) } }, { "route", route->name } });
    return { configuration, route, caller, rejectionResponse(401, "unauthorized") };
}

} // namespace peridotgrade
