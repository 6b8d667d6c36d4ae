// The operator's configuration of routes and services.
#pragma once

#include "peridotgrade/core/serving/api_keys.h"
#include "peridotgrade/core/serving/service_route.h"
#include "peridotgrade/core/serving/service_spec.h"
#include "peridotgrade/core/serving/tenant.h"

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
    /// If there are any, callers show the key of one, except on public routes.
    std::vector<Tenant> tenants;
    /// Index of the keys of `tenants`.
    ApiKeys apiKeys;
    /// The record has tenants of which some or all cannot be used. Without a valid one every key is unknown:
    /// a mistake in the list does not open the routes.
    bool hasUnreadableTenants = false;

    bool requiresKeys() const { return !this->tenants.empty() || this->hasUnreadableTenants; }
    /// Null if the key is unknown.
    const Tenant* tenantOfKey(std::string_view key) const;
    /// The route of that host with the longest prefix of the path; null if none matches.
    const ServiceRoute* routeFor(std::string_view host, std::string_view path) const;
    const ServiceSpec* serviceNamed(const ServiceId& name) const;
    /// True if the requests of that service have priorities: there are tenants, or its routes differ.
    bool hasPriorities(const ServiceId& service) const;
};

} // namespace peridotgrade
