// Tests of the gateway's settings, and of the template from which the platform generates them.
#include "peridotgrade/gateway/gateway_settings.h"

#include "peridotgrade/ops/settings/schema_check.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

const std::string File = "gateway.json";

const std::string Good = R"({"nodeName":"n","dataCentre":"d","callersListen":"10.0.0.1:80",
  "readinessListen":"10.0.0.1:81","metricsListen":"10.0.0.1:82","store":"10.0.0.2:90",
  "retries":{"ratio":0.2,"extra":52,"windowSeconds":10}})";

std::string changed(const std::string& from, const std::string& to)
{
    std::string text = Good;
    std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

/// Fills in placeholders as the platform does, with the values of one node.
std::string rendered(std::string text)
{
    const std::map<std::string, std::string> values { { "node_name", "front-1" }, { "zone", "kgl-nyar" },
        { "listen.front", "10.1.0.38:8149" }, { "listen.ready", "10.1.0.38:8141" }, { "ip", "10.1.0.38" },
        { "platform.addr", "10.200.1.7:8142" }, { "platform.parts", "12" }, { "platform.ttl_min_ms", "1000" },
        { "bounds.retry_budget_ratio", "0.2" }, { "bounds.budget_extra", "52" },
        { "bounds.budget_window_s", "10" }, { "bounds.grace_s", "8" }, { "bounds.lease_ms", "3000" },
        { "limits.memory_mb", "88" }, { "port_range.0", "9100" } };
    std::size_t at = 0;
    while ((at = text.find("{{", at)) != std::string::npos) {
        std::size_t end = text.find("}}", at);
        std::string name = text.substr(at + 2, end - at - 2);
        bool isJson = name.ends_with("|json");
        if (isJson)
            name.resize(name.size() - std::string_view { "|json" }.size());
        BOOST_REQUIRE_MESSAGE(values.contains(name), "the platform has no value for " << name);
        std::string value = isJson ? "\"" + values.at(name) + "\"" : values.at(name);
        text.replace(at, end + 2 - at, value);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GatewaySettingsTest)

BOOST_AUTO_TEST_CASE(deploymentTemplateGivesValidSettings)
{
    auto text = readFile(std::string { PERIDOT_SOURCE_DIR } + "/deploy/gateway.json.in");
    BOOST_REQUIRE(std::holds_alternative<std::string>(text));
    auto parsed = parseGatewaySettings(rendered(std::get<std::string>(text)), File);
    auto* error = std::get_if<SettingsError>(&parsed);
    BOOST_REQUIRE_MESSAGE(error == nullptr, (error ? error->message() : ""));
    const auto& settings = std::get<GatewaySettings>(parsed);
    BOOST_TEST(settings.nodeName == "front-1");
    BOOST_TEST(settings.callersListen.port == 8149);
    BOOST_TEST(settings.metricsListen.port == 9464);
    BOOST_TEST(settings.storePartitions == 12U);
    BOOST_TEST(settings.retries.extra == 52);
    BOOST_TEST((settings.retries.window == 10s));
    BOOST_TEST((settings.stopWithin == 8s));
    BOOST_TEST((settings.leaderLease == 3s));
    BOOST_REQUIRE(settings.expectedDemand.has_value());
    BOOST_TEST((settings.expectedDemand->prefill == 100ms));
    BOOST_TEST((settings.expectedDemand->decode == 450ms));
    BOOST_TEST(settings.memoryMb.value() == 88U);
    BOOST_TEST((settings.loadAwareScheduling == LoadAwareScheduling::Auto));
    // Guards against entries that can not ask each other for quotas or share observations.
    BOOST_TEST(toString(settings.peerListen.value()) == "10.1.0.38:9100");
}

BOOST_AUTO_TEST_CASE(deploymentFileHasTheExpectedEntries)
{
    auto read = readFile(std::string { PERIDOT_SOURCE_DIR } + "/deploy/system.toml");
    BOOST_REQUIRE(std::holds_alternative<std::string>(read));
    const std::string& text = std::get<std::string>(read);
    for (const char* expected :
        { "[roles.entry]", "run = \"target/peridot-gateway\"", "template = \"deploy/gateway.json.in\"",
            "on = \"front\"", "serves = [\"front\"]", "metrics = \"9464/metrics\"" })
        BOOST_TEST(text.find(expected) != std::string::npos, expected);
}

BOOST_AUTO_TEST_CASE(errorsNameFileKeyAndFix)
{
    struct Case {
        std::string text;
        std::string key;
    };
    for (const Case& each : { Case { changed("\"nodeName\":\"n\",", ""), "nodeName" },
             Case { changed("\"store\":\"10.0.0.2:90\"", "\"store\":\"nowhere\""), "store" },
             Case { changed("\"ratio\":0.2", "\"ratio\":-1"), "ratio" },
             Case { changed("\"nodeName\"", "\"expectedDemand\":{\"prefillMs\":100},\"nodeName\""),
                 "expectedDemand" },
             Case {
                 changed("\"nodeName\"", "\"expectedDemand\":{\"prefillMs\":0,\"decodeMs\":9},\"nodeName\""),
                 "prefillMs" },
             Case { changed("\"nodeName\"", "\"memoryMb\":-88,\"nodeName\""), "memoryMb" },
             Case { changed("\"nodeName\"", "\"memoryMb\":1e30,\"nodeName\""), "memoryMb" },
             Case { changed("10.0.0.1:81", "10.0.0.1:80"), "callersListen" },
             Case { changed("\"nodeName\"", "\"peerListen\":\"10.0.0.1\",\"nodeName\""), "peerListen" },
             Case { changed("\"nodeName\"", "\"peerListen\":\"10.0.0.1:0\",\"nodeName\""), "peerListen" },
             Case { changed("\"nodeName\"", "\"loadAwareScheduling\":\"yes\",\"nodeName\""),
                 "loadAwareScheduling" },
             Case { changed("\"nodeName\"", "\"colour\":1,\"nodeName\""), "colour" } }) {
        auto parsed = parseGatewaySettings(each.text, File);
        auto* error = std::get_if<SettingsError>(&parsed);
        BOOST_REQUIRE_MESSAGE(error != nullptr, each.key);
        BOOST_TEST(error->message().find(File) != std::string::npos, error->message());
        BOOST_TEST(error->message().find(each.key) != std::string::npos, error->message());
    }
}

BOOST_AUTO_TEST_SUITE_END()
