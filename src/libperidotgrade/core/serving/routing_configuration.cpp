// Lookup of routes and services.
#include "peridotgrade/core/serving/routing_configuration.h"

#include "peridotgrade/core/base/name_table.h"

#include <algorithm>
#include <array>

namespace peridotgrade {

std::string_view nameOf(CallKind kind)
{
    constexpr std::array<std::string_view, 3> Names { "idempotent", "non_idempotent", "streaming" };
    return nameAt(Names, kind);
}

const Tenant* RoutingConfiguration::tenantOfKey(std::string_view key) const
{
    auto at = this->apiKeys.tenantOf(key);
    return at && *at < this->tenants.size() ? &this->tenants[*at] : nullptr;
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

bool RoutingConfiguration::hasPriorities(const ServiceId& service) const
{
    if (!this->tenants.empty())
        return true;
    const ServiceRoute* first = nullptr;
    for (const ServiceRoute& route : this->routes) {
        bool isServed = std::any_of(route.services.begin(), route.services.end(),
            [&](const WeightedService& each) { return each.service == service; });
        if (!isServed)
            continue;
        if (first != nullptr && first->priority != route.priority)
            return true;
        first = &route;
    }
    return false;
}

} // namespace peridotgrade
