// Tests of the rules for a configuration and of its differences from another one.
#include "peridotgrade/core/serving/configuration_check.h"
#include "peridotgrade/core/serving/configuration_difference.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

RoutingConfiguration validConfiguration()
{
    ServiceRoute route;
    route.name = "read";
    route.host = "h.example";
    route.pathPrefix = "/read/";
    route.kind = CallKind::Idempotent;
    route.timeout = 1500ms;
    route.latencyTarget = 200ms;
    route.maxAttempts = 2;
    route.services = { { ServiceId { "s" }, 1 } };
    ServiceSpec service;
    service.name = ServiceId { "s" };
    Tenant tenant;
    tenant.name = TenantId { "t" };
    tenant.keys = { "secret-key" };
    tenant.quota = TenantQuota { QuotaUnit::Tokens, 1000, 1000, 500 };
    RoutingConfiguration configuration;
    configuration.version = ConfigVersion { 4 };
    configuration.routes = { route };
    configuration.services = { service };
    configuration.tenants = { tenant };
    return configuration;
}

bool has(const std::vector<ConfigurationFinding>& findings, FindingSeverity severity,
    const std::string& place, const std::string& field)
{
    return std::any_of(findings.begin(), findings.end(), [&](const ConfigurationFinding& each) {
        return each.severity == severity && each.place == place && each.field == field;
    });
}

struct Mistake {
    std::function<void(RoutingConfiguration&)> make;
    FindingSeverity severity;
    std::string place;
    std::string field;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationCheckTest)

BOOST_AUTO_TEST_CASE(aValidConfigurationHasNoFindings)
{
    // Guards against a check that cries wolf and is switched off.
    BOOST_TEST(checkConfiguration(validConfiguration()).empty());
}

BOOST_AUTO_TEST_CASE(eachMistakeIsNamedAtItsPlace)
{
    constexpr auto Error = FindingSeverity::Error;
    constexpr auto Warning = FindingSeverity::Warning;
    using Configuration = RoutingConfiguration;
    const std::vector<Mistake> mistakes {
        { [](Configuration& c) { c.routes[0].services[0].service = ServiceId { "x" }; }, Error, "route read",
            "service" },
        { [](Configuration& c) { c.routes.push_back(c.routes[0]); }, Error, "route read", "name" },
        { [](Configuration& c) { c.routes.push_back(c.routes[0]); }, Warning, "route read", "path prefix" },
        { [](Configuration& c) { c.services.push_back(c.services[0]); }, Error, "service s", "name" },
        { [](Configuration& c) {
             c.services.push_back({ ServiceId { "idle" }, "", 0, {} });
         },
            Warning, "service idle", "" },
        { [](Configuration& c) { c.routes[0].host = "http://h"; }, Warning, "route read", "host" },
        { [](Configuration& c) { c.routes[0].host = ""; }, Warning, "route read", "host" },
        { [](Configuration& c) { c.routes[0].pathPrefix = "read/"; }, Warning, "route read", "path prefix" },
        { [](Configuration& c) { c.routes[0].pathPrefix = "/read"; }, Warning, "route read", "path prefix" },
        { [](Configuration& c) { c.routes[0].latencyTarget = 2s; }, Warning, "route read", "latency target" },
        { [](Configuration& c) { c.routes[0].gapTarget = 2s; }, Warning, "route read", "pause limit" },
        { [](Configuration& c) { c.routes[0].kind = CallKind::NonIdempotent; }, Warning, "route read",
            "attempts" },
        { [](Configuration& c) { c.routes[0].kind = CallKind::Streaming; }, Warning, "route read",
            "attempts" },
        { [](Configuration& c) { c.routes[0].maxAttempts = 0; }, Error, "route read", "attempts" },
        { [](Configuration& c) { c.routes[0].priority = 12; }, Warning, "route read", "priority" },
        { [](Configuration& c) { c.services[0].engine = EngineSpec {}; }, Error, "service s", "slots" },
        { [](Configuration& c) { c.tenants[0].quota->burst = 499; }, Warning, "tenant t", "burst" },
        { [](Configuration& c) { c.tenants[0].quota->burst = 0.5; }, Warning, "tenant t", "burst" },
        { [](Configuration& c) { c.tenants[0].quota->plainTokens = 0; }, Warning, "tenant t",
            "plain tokens" },
        { [](Configuration& c) { c.tenants[0].keys.clear(); }, Warning, "tenant t", "keys" },
        { [](Configuration& c) { c.tenants.clear(), c.hasUnreadableTenants = true; }, Error, "tenants", "" },
        { [](Configuration& c) { c.tenants.clear(), c.routes[0].isPublic = true; }, Warning, "route read",
            "public" },
        { [](Configuration& c) { c.limits.idleTimeout = 0ms; }, Error, "limits", "idle time-out" },
    };
    for (const Mistake& mistake : mistakes) {
        RoutingConfiguration configuration = validConfiguration();
        mistake.make(configuration);
        BOOST_TEST(has(checkConfiguration(configuration), mistake.severity, mistake.place, mistake.field),
            mistake.place << ", " << mistake.field);
    }
}

BOOST_AUTO_TEST_CASE(differencesNameItemsFieldsAndKeysWithoutTheKeys)
{
    RoutingConfiguration inForce = validConfiguration();
    RoutingConfiguration proposed = validConfiguration();
    proposed.version = ConfigVersion { 5 };
    BOOST_TEST(differencesOf(inForce, proposed).empty());
    proposed.routes[0].timeout = 1s;
    proposed.services.push_back({ ServiceId { "new" }, "", 0, {} });
    proposed.tenants[0].keys = { "other-key" };
    proposed.tenants[0].quota.reset();
    inForce.routes.push_back(inForce.routes[0]);
    inForce.routes[1].name = "old";
    auto differences = differencesOf(inForce, proposed);
    BOOST_TEST(has(differences, FindingSeverity::Note, "route read", "time-out"));
    BOOST_TEST(has(differences, FindingSeverity::Note, "route old", ""));
    BOOST_TEST(has(differences, FindingSeverity::Note, "service new", ""));
    BOOST_TEST(has(differences, FindingSeverity::Note, "tenant t", "burst"));
    auto keys = std::count_if(differences.begin(), differences.end(),
        [](const ConfigurationFinding& each) { return each.field == "keys"; });
    BOOST_TEST(keys == 2);
    for (const ConfigurationFinding& each : differences)
        BOOST_TEST(each.message.find("-key") == std::string::npos, each.message);
    // Guards against a version that entries ignore because it is not above the one in force.
    proposed.version = inForce.version;
    BOOST_TEST(has(differencesOf(inForce, proposed), FindingSeverity::Error, "configuration", "version"));
}

BOOST_AUTO_TEST_SUITE_END()
