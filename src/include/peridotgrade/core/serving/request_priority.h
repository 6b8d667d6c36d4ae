// Priority of a request, from its tenant and its route.
#pragma once

#include "peridotgrade/core/serving/service_route.h"
#include "peridotgrade/core/serving/tenant.h"

#include <algorithm>
#include <cstdint>

namespace peridotgrade {

/// Orders requests that compete for the same servers; lower values go first. A tenant's priority goes before
/// that of the route, which orders the requests of tenants that are equal.
struct RequestPriority {
    /// Lower priorities count as this.
    static constexpr std::uint32_t Lowest = 9;

    std::uint32_t tenant = 0;
    std::uint32_t route = 0;

    // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const RequestPriority&, const RequestPriority&) = default;
};

/// The priority as one number, 0 to 9, in which servers and metrics state it.
inline std::uint32_t urgencyOf(RequestPriority priority)
{
    // Routes have about three priorities; more of them run into those of the next tenant priority.
    constexpr std::uint32_t RoutePrioritiesPerTenant = 3;
    return std::min(RoutePrioritiesPerTenant * priority.tenant + priority.route, RequestPriority::Lowest);
}

inline RequestPriority priorityOf(const Tenant* tenant, const ServiceRoute& route)
{
    std::uint32_t own = tenant != nullptr && tenant->priority ? *tenant->priority : 0;
    return { std::min(own, RequestPriority::Lowest), std::min(route.priority, RequestPriority::Lowest) };
}

} // namespace peridotgrade
