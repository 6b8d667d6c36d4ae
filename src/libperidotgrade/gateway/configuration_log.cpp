// Compares the tenants of two configurations and writes the lines.
#include "peridotgrade/gateway/configuration_log.h"

#include "peridotgrade/gateway/request_trace.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>

namespace peridotgrade {

namespace {

    // Lines of each kind for one configuration; the log is limited to some hundred lines a second.
    constexpr std::size_t MaxLines = 32;

    using TenantsByName = std::map<TenantId, const Tenant*>;

    TenantsByName byName(const RoutingConfiguration* configuration)
    {
        TenantsByName tenants;
        if (configuration != nullptr) {
            for (const Tenant& each : configuration->tenants)
                tenants.emplace(each.name, &each);
        }
        return tenants;
    }

    std::string textOf(double number)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%.10g", number);
        return text;
    }

    void writeTenant(Logger& log, const Tenant& tenant)
    {
        auto limit
            = [&](auto read) { return tenant.quota ? textOf(read(*tenant.quota)) : std::string { "none" }; };
        std::string unit = "none";
        if (tenant.quota)
            unit = tenant.quota->unit == QuotaUnit::Tokens ? "tokens" : "requests";
        log.write(LogLevel::Info, "tenant_configured",
            { { "tenant", tenant.name.raw() },
                { "priority", tenant.priority ? std::to_string(*tenant.priority) : "none" }, { "unit", unit },
                { "per_second", limit([](const TenantQuota& quota) { return quota.perSecond; }) },
                { "burst", limit([](const TenantQuota& quota) { return quota.burst; }) },
                { "keys", std::to_string(tenant.keys.size()) } });
    }

    void writeMore(Logger& log, std::string_view event, std::size_t count)
    {
        if (count > MaxLines)
            log.write(LogLevel::Info, event, { { "not_listed", std::to_string(count - MaxLines) } });
    }

    void writeTenants(Logger& log, const RoutingConfiguration* before, const RoutingConfiguration& now)
    {
        TenantsByName old = byName(before);
        std::size_t changed = 0;
        for (const Tenant& each : now.tenants) {
            auto known = old.find(each.name);
            bool isSame = known != old.end() && *known->second == each;
            if (!isSame && ++changed <= MaxLines)
                writeTenant(log, each);
            if (known != old.end())
                old.erase(known);
        }
        writeMore(log, "tenant_configured", changed);
        std::size_t removed = 0;
        for (const auto& [name, tenant] : old) {
            if (++removed <= MaxLines)
                log.write(LogLevel::Info, "tenant_removed", { { "tenant", name.raw() } });
        }
        writeMore(log, "tenant_removed", removed);
    }

    void writeFindings(Logger& log, const std::vector<ConfigurationFinding>& findings)
    {
        for (std::size_t at = 0; at < std::min(findings.size(), MaxLines); ++at)
            log.write(LogLevel::Warn, "configuration_finding",
                { { "severity", std::string { nameOf(findings[at].severity) } },
                    { "place", findings[at].place }, { "field", findings[at].field },
                    { "detail", findings[at].message } });
        writeMore(log, "configuration_finding", findings.size());
    }

} // namespace

void logConfiguration(Logger& log, const RoutingConfiguration* before, const RoutingConfiguration& now,
    const std::vector<ConfigurationFinding>& findings, std::optional<Duration> delayBound)
{
    log.write(LogLevel::Info, "configuration_applied",
        { { "version", std::to_string(now.version.raw()) },
            { "before", std::to_string(before != nullptr ? before->version.raw() : 0) },
            { "routes", std::to_string(now.routes.size()) },
            { "services", std::to_string(now.services.size()) },
            { "tenants", std::to_string(now.tenants.size()) },
            { "within_ms", delayBound ? millisecondsText(*delayBound) : "unknown" } });
    writeTenants(log, before, now);
    writeFindings(log, findings);
}

} // namespace peridotgrade
