// The rules, by the part of the configuration that they look at.
#include "peridotgrade/core/serving/configuration_check.h"

#include "peridotgrade/core/serving/request_priority.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace peridotgrade {

namespace {

    /// Collects the findings about one item.
    class ItemFindings {
    public:
        ItemFindings(std::string place, std::vector<ConfigurationFinding>& findings)
            : place(std::move(place))
            , findings(findings)
        {
        }

        void error(std::string field, std::string message) const
        {
            this->findings.push_back(
                { FindingSeverity::Error, this->place, std::move(field), std::move(message) });
        }

        void warn(std::string field, std::string message) const
        {
            this->findings.push_back(
                { FindingSeverity::Warning, this->place, std::move(field), std::move(message) });
        }

    private:
        std::string place;
        std::vector<ConfigurationFinding>& findings;
    };

    std::string text(std::chrono::milliseconds time) { return std::to_string(time.count()) + " ms"; }

    std::string placeOf(const ServiceRoute& route)
    {
        return "route " + (route.name.empty() ? route.host + route.pathPrefix : route.name);
    }

    bool isPossibleHost(const std::string& host)
    {
        constexpr std::string_view Impossible = " \t/?#@\\";
        return !host.empty() && host.find_first_of(Impossible) == std::string::npos;
    }

    void checkMatch(const ServiceRoute& route, const ItemFindings& found)
    {
        if (!isPossibleHost(route.host))
            found.warn("host", "no request has such a host: the route is never used");
        else if (std::any_of(
                     route.host.begin(), route.host.end(), [](char c) { return c >= 'A' && c <= 'Z'; }))
            found.warn(
                "host", "has capital letters, and hosts are compared as they are: clients send small ones");
        const std::string& prefix = route.pathPrefix;
        if (!prefix.starts_with('/') || prefix.find_first_of("?# ") != std::string::npos)
            found.warn("path prefix", "no path of a request begins like this: the route is never used");
        else if (!prefix.ends_with('/'))
            found.warn("path prefix",
                "does not end with a slash: it also matches paths that go on, such as " + prefix + "x");
    }

    bool mayRepeat(const ServiceRoute& route)
    {
        return route.kind == CallKind::Idempotent || (route.kind == CallKind::Streaming && route.isResumable);
    }

    void checkLimits(const ServiceRoute& route, const ItemFindings& found)
    {
        if (route.latencyTarget.count() < 0)
            found.error("latency target", "is negative");
        if (route.gapTarget.count() < 0)
            found.error("pause limit", "is negative");
        if (route.latencyTarget > route.timeout)
            found.warn("latency target",
                "is " + text(route.latencyTarget) + ", above the time-out of " + text(route.timeout));
        if (route.gapTarget > route.timeout)
            found.warn("pause limit",
                "is " + text(route.gapTarget) + ", above the time-out of " + text(route.timeout));
        if (route.maxAttempts == 0)
            found.error("attempts", "is 0: a request runs once at least");
        if (route.maxAttempts > 1 && !mayRepeat(route))
            found.warn("attempts",
                "is " + std::to_string(route.maxAttempts) + " on a route whose requests may not be repeated");
        if (route.kind != CallKind::Streaming && route.isResumable)
            found.warn("resumable", "has no effect on a route that is not streaming");
        if (route.kind != CallKind::Streaming && route.gapTarget.count() > 0)
            found.warn("pause limit", "has no effect on a route that is not streaming");
        if (route.priority > RequestPriority::Lowest)
            found.warn("priority", "is " + std::to_string(route.priority) + " and counts as 9");
    }

    void checkServices(
        const ServiceRoute& route, const RoutingConfiguration& configuration, const ItemFindings& found)
    {
        std::set<ServiceId> seen;
        for (const WeightedService& each : route.services) {
            if (configuration.serviceNamed(each.service) == nullptr)
                found.error("service", "the service " + each.service.raw() + " is unknown");
            if (!seen.insert(each.service).second)
                found.warn("service", "the service " + each.service.raw() + " is listed twice");
        }
    }

    void checkRoutes(const RoutingConfiguration& configuration, std::vector<ConfigurationFinding>& findings)
    {
        std::set<std::string> names;
        std::map<std::pair<std::string, std::string>, std::string> firsts;
        for (const ServiceRoute& route : configuration.routes) {
            ItemFindings found(placeOf(route), findings);
            if (route.name.empty())
                found.error("name", "is missing");
            else if (!names.insert(route.name).second)
                found.error("name", "is that of an earlier route");
            auto [first, isNew] = firsts.emplace(std::pair { route.host, route.pathPrefix }, placeOf(route));
            if (!isNew)
                found.warn("path prefix",
                    "host and prefix are those of " + first->second + ": this route is never used");
            checkMatch(route, found);
            checkLimits(route, found);
            checkServices(route, configuration, found);
            if (route.isPublic && !configuration.requiresKeys())
                found.warn("public", "has no effect, since there are no tenants");
        }
        if (configuration.routes.empty())
            ItemFindings("routes", findings).warn("", "there is none: every request is answered 404");
    }

    void checkEngine(const EngineSpec& engine, const ItemFindings& found)
    {
        if (engine.slots == 0)
            found.error("slots", "is missing or 0: the engines take no request");
        if (engine.kvCapacityTokens == 0)
            found.error("memory", "is missing or 0: the engines take no request");
        if (engine.tokensPerEvent == 0)
            found.error("tokens per event", "is 0");
        if (engine.kvHandleLifetime.count() < 0 || engine.roleSwitchTime.count() < 0
            || engine.maxReservation.count() < 0)
            found.error("times", "one of the engine's times is negative");
    }

    void checkServices(const RoutingConfiguration& configuration, std::vector<ConfigurationFinding>& findings)
    {
        std::set<ServiceId> used;
        for (const ServiceRoute& route : configuration.routes) {
            for (const WeightedService& each : route.services)
                used.insert(each.service);
        }
        std::set<ServiceId> names;
        for (const ServiceSpec& service : configuration.services) {
            ItemFindings found("service " + service.name.raw(), findings);
            if (!names.insert(service.name).second)
                found.error("name", "is that of an earlier service: this one is never used");
            else if (!used.contains(service.name))
                found.warn("", "no route uses it");
            if (service.engine)
                checkEngine(*service.engine, found);
        }
    }

    void checkQuota(const TenantQuota& quota, const ItemFindings& found)
    {
        bool isTokens = quota.unit == QuotaUnit::Tokens;
        if (quota.burst < 1)
            found.warn("burst", "is smaller than one request: nothing is admitted");
        else if (isTokens && quota.burst < quota.plainTokens)
            found.warn("burst",
                "is smaller than a request without token counts, which counts as "
                    + std::to_string(quota.plainTokens) + " tokens");
        if (isTokens && quota.plainTokens == 0)
            found.warn("plain tokens", "is 0: requests without token counts are not limited");
    }

    void checkTenants(const RoutingConfiguration& configuration, std::vector<ConfigurationFinding>& findings)
    {
        if (configuration.requiresKeys() && configuration.tenants.empty())
            ItemFindings("tenants", findings)
                .error("", "no tenant is valid: every key is unknown, and only public routes are served");
        for (const Tenant& tenant : configuration.tenants) {
            ItemFindings found("tenant " + tenant.name.raw(), findings);
            if (tenant.keys.empty())
                found.warn("keys", "there is none: no caller can be of this tenant");
            if (tenant.priority && *tenant.priority > RequestPriority::Lowest)
                found.warn("priority", "is " + std::to_string(*tenant.priority) + " and counts as 9");
            if (tenant.quota)
                checkQuota(*tenant.quota, found);
        }
    }

    void checkCallerLimits(const CallerLimits& limits, std::vector<ConfigurationFinding>& findings)
    {
        ItemFindings found("limits", findings);
        if (limits.maxHeaderBytes == 0)
            found.error("header bytes", "is 0: no request fits");
        if (limits.maxBodyBytes == 0)
            found.warn("body bytes", "is 0: no request with a body fits");
        if (limits.headerTimeout.count() <= 0)
            found.error("header time-out", "is not above 0");
        if (limits.idleTimeout.count() <= 0)
            found.error("idle time-out", "is not above 0");
    }

} // namespace

std::vector<ConfigurationFinding> checkConfiguration(const RoutingConfiguration& configuration)
{
    std::vector<ConfigurationFinding> findings;
    checkRoutes(configuration, findings);
    checkServices(configuration, findings);
    checkTenants(configuration, findings);
    checkCallerLimits(configuration.limits, findings);
    return findings;
}

} // namespace peridotgrade
