// Schema, parsing and checks of the gateway's settings.
#include "peridotgrade/gateway/gateway_settings.h"

#include "peridotgrade/ops/settings/schema_check.h"
#include "peridotgrade/ops/settings/settings_reader.h"

#include <cmath>
#include <utility>

namespace peridotgrade {

namespace {

    constexpr std::string_view Schema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["nodeName", "dataCentre", "callersListen", "readinessListen", "metricsListen", "store", "retries"],
  "properties": {
    "nodeName": { "type": "string", "minLength": 1, "description": "the name of the VM" },
    "dataCentre": { "type": "string", "minLength": 1, "description": "the name of the data centre" },
    "callersListen": { "type": "string", "description": "the address for callers, as ip:port" },
    "readinessListen": { "type": "string", "description": "the address for readiness checks, as ip:port" },
    "metricsListen": { "type": "string", "description": "the address for metrics, as ip:port" },
    "peerListen": { "type": "string", "description": "the address for datagrams of other entries, as ip:port" },
    "store": { "type": "string", "description": "the address of the platform's store, as ip:port" },
    "storePartitions": { "type": "integer", "minimum": 1, "description": "partitions of each topic of the store" },
    "logLevel": { "enum": ["trace", "debug", "info", "warn", "error"],
      "description": "one of trace, debug, info, warn, error" },
    "maxLogLinesPerSecond": { "type": "integer", "minimum": 1, "description": "the maximum number of log lines per second" },
    "retries": { "type": "object", "additionalProperties": false, "required": ["ratio", "extra", "windowSeconds"],
      "description": "an object with ratio, extra and windowSeconds",
      "properties": {
        "ratio": { "type": "number", "minimum": 0, "description": "retries for each request" },
        "extra": { "type": "number", "minimum": 0, "description": "retries beyond that, for all entries together" },
        "windowSeconds": { "type": "number", "exclusiveMinimum": 0, "description": "the window in seconds" } } },
    "stopWithinSeconds": { "type": "number", "minimum": 1, "description": "seconds from SIGTERM to the end, at least 1" },
    "dutyLeaseMs": { "type": "integer", "minimum": 0, "description": "a whole number of milliseconds" },
    "shortestMembershipMs": { "type": "integer", "minimum": 1, "description": "a whole number of milliseconds" },
    "memoryMb": { "type": "integer", "minimum": 32, "maximum": 1000000,
      "description": "the memory limit of the process, a whole number of megabytes from 32" },
    "expectedDemand": { "type": "object", "additionalProperties": false, "required": ["prefillMs", "decodeMs"],
      "description": "an object with prefillMs and decodeMs",
      "properties": {
        "prefillMs": { "type": "number", "exclusiveMinimum": 0, "description": "engine time of a prefill in milliseconds, above 0" },
        "decodeMs": { "type": "number", "exclusiveMinimum": 0, "description": "a run's share of an engine times its time in milliseconds, above 0" } } },
    "loadAwareScheduling": { "enum": ["auto", "on", "off"], "description": "one of auto, on, off" }
  }
})json";

    std::chrono::milliseconds secondsOf(
        const boost::json::object& fields, std::string_view key, std::chrono::milliseconds defaultValue)
    {
        constexpr double MillisecondsPerSecond = 1000;
        const auto* value = fields.if_contains(key);
        if (value == nullptr)
            return defaultValue;
        return std::chrono::milliseconds { std::llround(value->to_number<double>() * MillisecondsPerSecond) };
    }

    RetryBudgetLimits retriesFrom(const boost::json::object& fields)
    {
        RetryBudgetLimits limits;
        limits.ratio = fields.at("ratio").to_number<double>();
        limits.extra = fields.at("extra").to_number<double>();
        limits.window = secondsOf(fields, "windowSeconds", limits.window);
        return limits;
    }

    /// The schema has checked that it is a whole number in range.
    std::optional<std::uint32_t> memoryFrom(const boost::json::object& fields)
    {
        const auto* memory = fields.if_contains("memoryMb");
        return memory != nullptr ? std::optional { memory->to_number<std::uint32_t>() } : std::nullopt;
    }

    std::optional<RoleDemand> demandFrom(const boost::json::object& fields)
    {
        const auto* demand = fields.if_contains("expectedDemand");
        if (demand == nullptr)
            return std::nullopt;
        auto millisecondsOf = [demand](std::string_view key) {
            std::chrono::duration<double, std::milli> time {
                demand->as_object().at(key).to_number<double>()
            };
            return std::chrono::duration_cast<Duration>(time);
        };
        return RoleDemand { millisecondsOf("prefillMs"), millisecondsOf("decodeMs") };
    }

} // namespace

GatewaySettingsBuilder& GatewaySettingsBuilder::node(std::string name, std::string dataCentre)
{
    this->settings.nodeName = std::move(name);
    this->settings.dataCentre = std::move(dataCentre);
    return *this;
}

GatewaySettingsBuilder& GatewaySettingsBuilder::listen(Endpoint callers, Endpoint readiness, Endpoint metrics)
{
    this->settings.callersListen = std::move(callers);
    this->settings.readinessListen = std::move(readiness);
    this->settings.metricsListen = std::move(metrics);
    return *this;
}

GatewaySettingsBuilder& GatewaySettingsBuilder::store(Endpoint address, std::uint32_t partitions)
{
    this->settings.store = std::move(address);
    this->settings.storePartitions = partitions;
    return *this;
}

GatewaySettingsBuilder& GatewaySettingsBuilder::logs(LogLevel level, std::uint32_t maxLinesPerSecond)
{
    this->settings.logLevel = level;
    this->settings.maxLogLinesPerSecond = maxLinesPerSecond;
    return *this;
}

GatewaySettingsBuilder& GatewaySettingsBuilder::retries(RetryBudgetLimits limits)
{
    this->settings.retries = limits;
    return *this;
}

GatewaySettingsBuilder& GatewaySettingsBuilder::stopWithin(std::chrono::milliseconds value)
{
    this->settings.stopWithin = value;
    return *this;
}

GatewaySettingsBuilder& GatewaySettingsBuilder::leadership(
    std::chrono::milliseconds lease, std::chrono::milliseconds minMembershipLifetime)
{
    this->settings.leaderLease = lease;
    this->settings.minMembershipLifetime = minMembershipLifetime;
    return *this;
}

GatewaySettingsBuilder& GatewaySettingsBuilder::expectedDemand(std::optional<RoleDemand> value)
{
    this->settings.expectedDemand = value;
    return *this;
}

GatewaySettingsBuilder& GatewaySettingsBuilder::memory(std::optional<std::uint32_t> megabytes)
{
    this->settings.memoryMb = megabytes;
    return *this;
}

GatewaySettingsBuilder& GatewaySettingsBuilder::peers(std::optional<Endpoint> listen)
{
    this->settings.peerListen = std::move(listen);
    return *this;
}

GatewaySettingsBuilder& GatewaySettingsBuilder::loadAwareScheduling(LoadAwareScheduling mode)
{
    this->settings.loadAwareScheduling = mode;
    return *this;
}

std::variant<GatewaySettings, SettingsError> GatewaySettingsBuilder::build() const
{
    const GatewaySettings& built = this->settings;
    SettingsError error;
    error.kind = SettingsErrorKind::BadValue;
    bool isShared = built.callersListen.port != 0
        && (built.callersListen == built.readinessListen || built.callersListen == built.metricsListen);
    if (isShared) {
        error.key = "callersListen";
        error.problem = "is the same address as readinessListen or metricsListen";
        error.fix = "give it a port of its own";
        return error;
    }
    if (built.peerListen && built.peerListen->port == 0) {
        error.key = "peerListen";
        error.problem = "has port 0, which other entries cannot send to";
        error.fix = "give it a fixed port";
        return error;
    }
    return built;
}

std::variant<GatewaySettings, SettingsError> parseGatewaySettings(
    const std::string& text, const std::string& file)
{
    auto parsed = parseChecked(text, file, Schema);
    if (auto* error = std::get_if<SettingsError>(&parsed))
        return std::move(*error);
    const auto& fields = std::get<boost::json::object>(parsed);
    SettingsReader reader(fields, file);
    GatewaySettings read;
    std::string level { nameOf(read.logLevel) };
    std::string scheduling { nameOf(read.loadAwareScheduling) };
    reader.read("nodeName", read.nodeName);
    reader.read("dataCentre", read.dataCentre);
    reader.read("callersListen", read.callersListen);
    reader.read("readinessListen", read.readinessListen);
    reader.read("metricsListen", read.metricsListen);
    reader.read("store", read.store);
    reader.read("storePartitions", read.storePartitions);
    reader.read("logLevel", level);
    reader.read("maxLogLinesPerSecond", read.maxLogLinesPerSecond);
    reader.read("dutyLeaseMs", read.leaderLease);
    reader.read("shortestMembershipMs", read.minMembershipLifetime);
    reader.read("loadAwareScheduling", scheduling);
    Endpoint peerListen;
    if (fields.contains("peerListen"))
        reader.read("peerListen", peerListen);
    if (reader.error())
        return *reader.error();
    auto built
        = GatewaySettingsBuilder()
              .node(read.nodeName, read.dataCentre)
              .listen(read.callersListen, read.readinessListen, read.metricsListen)
              .store(read.store, read.storePartitions)
              .logs(logLevelFrom(level).value_or(read.logLevel), read.maxLogLinesPerSecond)
              .retries(retriesFrom(fields.at("retries").as_object()))
              .stopWithin(secondsOf(fields, "stopWithinSeconds", read.stopWithin))
              .leadership(read.leaderLease, read.minMembershipLifetime)
              .expectedDemand(demandFrom(fields))
              .memory(memoryFrom(fields))
              .peers(fields.contains("peerListen") ? std::optional { peerListen } : std::nullopt)
              .loadAwareScheduling(loadAwareSchedulingFrom(scheduling).value_or(read.loadAwareScheduling))
              .build();
    if (auto* error = std::get_if<SettingsError>(&built))
        error->file = file;
    return built;
}

std::variant<GatewaySettings, SettingsError> readGatewaySettings(const std::string& path)
{
    auto text = readFile(path);
    if (auto* error = std::get_if<SettingsError>(&text))
        return std::move(*error);
    return parseGatewaySettings(std::get<std::string>(text), path);
}

} // namespace peridotgrade
