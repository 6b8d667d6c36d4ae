// The operator's configuration of routes and services.
#pragma once

#include "peridotgrade/core/serving/service_route.h"
#include "peridotgrade/core/serving/service_spec.h"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// What callers may send and how long they may take.
struct CallerLimits {
    std::uint64_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

struct RoutingConfiguration {
    ConfigVersion version;
    std::vector<ServiceRoute> routes;
    std::vector<ServiceSpec> services;
    CallerLimits limits;

    /// The route of that host with the longest prefix of the path; null if none matches.
    const ServiceRoute* routeFor(std::string_view host, std::string_view path) const;
    const ServiceSpec* serviceNamed(const ServiceId& name) const;
};

} // namespace peridotgrade
