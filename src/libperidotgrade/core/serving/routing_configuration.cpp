// Lookup of routes and services.
#include "peridotgrade/core/serving/routing_configuration.h"

#include "peridotgrade/core/base/name_table.h"

#include <array>

namespace peridotgrade {

std::string_view nameOf(CallKind kind)
{
    constexpr std::array<std::string_view, 3> Names { "idempotent", "non_idempotent", "streaming" };
    return nameAt(Names, kind);
}

const ServiceRoute* RoutingConfiguration::routeFor(std::string_view host, std::string_view path) const
{
    const ServiceRoute* best = nullptr;
    for (const ServiceRoute& route : this->routes) {
        bool isMatch = route.host == host && path.starts_with(route.pathPrefix);
        if (isMatch && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size()))
            best = &route;
    }
    return best;
}

const ServiceSpec* RoutingConfiguration::serviceNamed(const ServiceId& name) const
{
    for (const ServiceSpec& service : this->services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

} // namespace peridotgrade
