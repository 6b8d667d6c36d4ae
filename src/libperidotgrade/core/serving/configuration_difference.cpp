// Writes each item as a list of fields and compares these.
#include "peridotgrade/core/serving/configuration_difference.h"

#include "peridotgrade/core/base/key_hash.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace peridotgrade {

namespace {

    using Fields = std::vector<std::pair<std::string, std::string>>;
    /// Fields of each item, by its place.
    using Items = std::map<std::string, Fields>;

    std::string text(std::chrono::milliseconds time) { return std::to_string(time.count()) + " ms"; }
    std::string text(std::uint64_t number) { return std::to_string(number); }
    std::string text(bool flag) { return flag ? "yes" : "no"; }

    std::string text(double number)
    {
        char buffer[32];
        std::snprintf(buffer, sizeof(buffer), "%.10g", number);
        return buffer;
    }

    std::string text(const std::vector<WeightedService>& services)
    {
        std::string result;
        for (const WeightedService& each : services)
            result += (result.empty() ? "" : ", ") + each.service.raw() + " with weight " + text(each.weight);
        return result;
    }

    Fields fieldsOf(const ServiceRoute& route)
    {
        return { { "host", route.host }, { "path prefix", route.pathPrefix },
            { "kind", std::string { nameOf(route.kind) } }, { "time-out", text(route.timeout) },
            { "latency target", text(route.latencyTarget) }, { "pause limit", text(route.gapTarget) },
            { "priority", text(std::uint64_t { route.priority }) },
            { "attempts", text(std::uint64_t { route.maxAttempts }) },
            { "resumable", text(route.isResumable) }, { "public", text(route.isPublic) },
            { "services", text(route.services) } };
    }

    Fields fieldsOf(const ServiceSpec& service)
    {
        EngineSpec engine = service.engine.value_or(EngineSpec {});
        return { { "health path", service.healthPath.empty() ? "none" : service.healthPath },
            { "connections", text(std::uint64_t { service.maxConnections }) },
            { "engine", text(service.engine.has_value()) }, { "slots", text(std::uint64_t { engine.slots }) },
            { "memory", text(std::uint64_t { engine.kvCapacityTokens }) + " tokens" },
            { "tokens per event", text(std::uint64_t { engine.tokensPerEvent }) },
            { "lifetime of a KV cache", text(engine.kvHandleLifetime) },
            { "time of a role change", text(engine.roleSwitchTime) },
            { "lifetime of a reservation", text(engine.maxReservation) },
            { "backups", text(engine.canBackUp) } };
    }

    Fields fieldsOf(const Tenant& tenant)
    {
        Fields fields { { "priority",
            tenant.priority ? text(std::uint64_t { *tenant.priority })
                            : std::string { "that of the route" } } };
        if (!tenant.quota) {
            fields.emplace_back("rate", "no limit");
            return fields;
        }
        const char* unit = tenant.quota->unit == QuotaUnit::Tokens ? " tokens" : " requests";
        fields.emplace_back("rate", text(tenant.quota->perSecond) + unit + " per second");
        fields.emplace_back("burst", text(tenant.quota->burst) + unit);
        fields.emplace_back("plain tokens", text(std::uint64_t { tenant.quota->plainTokens }));
        return fields;
    }

    Fields fieldsOf(const CallerLimits& limits)
    {
        return { { "header bytes", text(limits.maxHeaderBytes) }, { "body bytes", text(limits.maxBodyBytes) },
            { "header time-out", text(limits.headerTimeout) },
            { "idle time-out", text(limits.idleTimeout) } };
    }

    Items itemsOf(const RoutingConfiguration& configuration)
    {
        Items items;
        for (const ServiceRoute& each : configuration.routes)
            items.emplace(
                "route " + (each.name.empty() ? each.host + each.pathPrefix : each.name), fieldsOf(each));
        for (const ServiceSpec& each : configuration.services)
            items.emplace("service " + each.name.raw(), fieldsOf(each));
        for (const Tenant& each : configuration.tenants)
            items.emplace("tenant " + each.name.raw(), fieldsOf(each));
        items.emplace("limits", fieldsOf(configuration.limits));
        return items;
    }

    /// Short hashes of the keys of each tenant, by its place.
    std::map<std::string, std::set<std::string>> keysOf(const RoutingConfiguration& configuration)
    {
        std::map<std::string, std::set<std::string>> keys;
        for (const Tenant& tenant : configuration.tenants) {
            for (const std::string& key : tenant.keys)
                keys["tenant " + tenant.name.raw()].insert(shortKeyHash(key));
        }
        return keys;
    }

    class Comparison {
    public:
        void note(const std::string& place, std::string field, std::string message)
        {
            this->findings.push_back({ FindingSeverity::Note, place, std::move(field), std::move(message) });
        }

        void compare(const std::string& place, const Fields& before, const Fields& now)
        {
            std::map<std::string, std::string> old(before.begin(), before.end());
            for (const auto& [field, value] : now) {
                auto known = old.find(field);
                if (known == old.end())
                    this->note(place, field, "is " + value);
                else if (known->second != value)
                    this->note(place, field, "is " + value + ", was " + known->second);
                if (known != old.end())
                    old.erase(known);
            }
            for (const auto& [field, value] : old)
                this->note(place, field, "is gone, was " + value);
        }

        void compareItems(const Items& before, const Items& now)
        {
            for (const auto& [place, fields] : now) {
                auto known = before.find(place);
                if (known == before.end())
                    this->note(place, "", "is new");
                else
                    this->compare(place, known->second, fields);
            }
            for (const auto& [place, fields] : before) {
                if (!now.contains(place))
                    this->note(place, "", "is gone");
            }
        }

        void compareKeys(const RoutingConfiguration& inForce, const RoutingConfiguration& proposed)
        {
            auto before = keysOf(inForce);
            auto now = keysOf(proposed);
            this->noteKeys(now, before, " is new");
            this->noteKeys(before, now, " is revoked");
        }

        std::vector<ConfigurationFinding> findings;

    private:
        using Keys = std::map<std::string, std::set<std::string>>;

        /// Notes the keys of `some` that `others` does not have.
        void noteKeys(const Keys& some, Keys& others, const std::string& what)
        {
            for (const auto& [place, keys] : some) {
                for (const std::string& key : keys) {
                    if (!others[place].contains(key))
                        this->note(place, "keys", "the key with the hash " + key + what);
                }
            }
        }
    };

} // namespace

std::vector<ConfigurationFinding> differencesOf(
    const RoutingConfiguration& inForce, const RoutingConfiguration& proposed)
{
    Comparison comparison;
    if (proposed.version <= inForce.version)
        comparison.findings.push_back({ FindingSeverity::Error, "configuration", "version",
            "is " + text(proposed.version.raw()) + ", not above that in force, " + text(inForce.version.raw())
                + ": entries ignore it" });
    if (inForce.requiresKeys() != proposed.requiresKeys())
        comparison.note("tenants", "",
            proposed.requiresKeys() ? "callers of routes that are not public need a key from now on"
                                    : "no caller needs a key any more");
    comparison.compareItems(itemsOf(inForce), itemsOf(proposed));
    comparison.compareKeys(inForce, proposed);
    return std::move(comparison.findings);
}

} // namespace peridotgrade
