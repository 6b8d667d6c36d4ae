// Tests of the look-up of tenants by their keys.
#include "peridotgrade/core/serving/api_keys.h"
#include "peridotgrade/core/serving/routing_configuration.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

namespace {

std::vector<Tenant> tenants()
{
    Tenant first;
    first.name = TenantId { "first" };
    first.keys = { "alpha", "beta", "" };
    Tenant second;
    second.name = TenantId { "second" };
    second.keys = { "gamma", "alpha" };
    return { first, second };
}

} // namespace

BOOST_AUTO_TEST_SUITE(ApiKeysTest)

BOOST_AUTO_TEST_CASE(findsTheTenantOfAKey)
{
    ApiKeys keys(tenants());
    BOOST_TEST(keys.size() == 3U);
    BOOST_TEST(keys.tenantOf("beta").value() == 0U);
    BOOST_TEST(keys.tenantOf("gamma").value() == 1U);
    // A key of two tenants stays with the first, whatever the order of look-ups.
    BOOST_TEST(keys.tenantOf("alpha").value() == 0U);
}

BOOST_AUTO_TEST_CASE(otherKeysAreUnknown)
{
    // Guards against keys that match in part, and against an empty key in the configuration that would accept
    // callers without one.
    ApiKeys keys(tenants());
    for (const char* key : { "", "alph", "alphaa", "ALPHA", " alpha", "delta" })
        BOOST_TEST(!keys.tenantOf(key).has_value(), key);
    BOOST_TEST(!keys.tenantOf(std::string(60'000, 'a')).has_value());
    BOOST_TEST(!ApiKeys {}.tenantOf("alpha").has_value());
    BOOST_TEST(!ApiKeys {}.tenantOf("").has_value());
}

BOOST_AUTO_TEST_CASE(aConfigurationWithUnreadableTenantsRequiresKeys)
{
    // Guards against a mistake in the list of tenants that opens every route.
    RoutingConfiguration configuration;
    BOOST_TEST(!configuration.requiresKeys());
    configuration.hasUnreadableTenants = true;
    BOOST_TEST(configuration.requiresKeys());
    BOOST_TEST((configuration.tenantOfKey("alpha") == nullptr));
    configuration.tenants = tenants();
    configuration.apiKeys = ApiKeys(configuration.tenants);
    BOOST_TEST((configuration.tenantOfKey("gamma") == &configuration.tenants[1]));
}

BOOST_AUTO_TEST_SUITE_END()
