// Field names and defaults of configuration values in JSON.
#include "value_json.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    json::array arrayOf(const std::vector<std::string>& texts)
    {
        json::array array;
        for (const std::string& text : texts)
            array.emplace_back(text);
        return array;
    }

} // namespace

json::object objectOf(const EngineAssignment& engine)
{
    json::object object;
    object["agent"] = engine.agent.raw();
    object["service"] = engine.service.raw();
    object["model"] = engine.model.raw();
    object["modelVersion"] = engine.modelVersion;
    object["adapters"] = arrayOf(engine.adapters);
    object["role"] = nameOf(engine.role);
    object["weightBytes"] = engine.weightBytes;
    object["startAfterMs"] = engine.startAfter.count();
    object["notBeforeMs"] = engine.notBefore.time_since_epoch().count();
    return object;
}

json::object objectOf(const Workspace& workspace)
{
    json::object object;
    object["id"] = workspace.id.raw();
    object["keySha256"] = workspace.keySha256;
    object["priority"] = nameOf(workspace.priority);
    object["requestsPerSecond"] = workspace.requestsPerSecond;
    object["outputTokensPerSecond"] = workspace.outputTokensPerSecond;
    object["share"] = workspace.share;
    return object;
}

json::object objectOf(const ServiceConfiguration& service)
{
    json::object object;
    object["id"] = service.id.raw();
    object["kind"] = nameOf(service.kind);
    object["committedShare"] = service.committedShare;
    return object;
}

json::object objectOf(const Commitment& commitment)
{
    json::object object;
    object["periodDays"] = commitment.periodDays;
    object["spendMinorUnits"] = commitment.spendMinorUnits;
    object["engineHourMinorUnits"] = commitment.engineHourMinorUnits;
    return object;
}

std::variant<EngineAssignment, ConfigError> engineFrom(const json::value& value)
{
    JsonReader reader(value, "engine");
    EngineAssignment engine;
    engine.agent = AgentId { reader.text("agent") };
    engine.service = ServiceId { reader.text("service") };
    engine.model = ModelId { reader.text("model") };
    engine.modelVersion = reader.text("modelVersion");
    engine.adapters = reader.texts("adapters");
    std::sort(engine.adapters.begin(), engine.adapters.end());
    engine.role = reader.choice("role", engineRoleFrom);
    engine.weightBytes = reader.integerOr("weightBytes", 0);
    engine.startAfter = reader.millisecondsOr("startAfterMs", std::chrono::milliseconds { 0 });
    engine.notBefore = WallTime { reader.millisecondsOr("notBeforeMs", std::chrono::milliseconds { 0 }) };
    return readResult(reader, std::move(engine));
}

std::variant<Workspace, ConfigError> workspaceFrom(const json::value& value)
{
    JsonReader reader(value, "workspace");
    Workspace workspace;
    workspace.id = WorkspaceId { reader.text("id") };
    workspace.keySha256 = reader.text("keySha256");
    workspace.priority = reader.choice("priority", priorityFrom);
    workspace.requestsPerSecond = reader.numberOr("requestsPerSecond", 0);
    workspace.outputTokensPerSecond = reader.numberOr("outputTokensPerSecond", 0);
    workspace.share = reader.numberOr("share", 1);
    return readResult(reader, std::move(workspace));
}

std::variant<ServiceConfiguration, ConfigError> serviceFrom(const json::value& value)
{
    JsonReader reader(value, "service");
    ServiceConfiguration service;
    service.id = ServiceId { reader.text("id") };
    service.kind = reader.choice("kind", serviceKindFrom);
    service.committedShare = reader.numberOr("committedShare", 0);
    return readResult(reader, std::move(service));
}

std::variant<Commitment, ConfigError> commitmentFrom(const json::value& value)
{
    JsonReader reader(value, "commitment");
    Commitment commitment;
    commitment.periodDays = static_cast<std::uint32_t>(reader.integer("periodDays"));
    commitment.spendMinorUnits = reader.integer("spendMinorUnits");
    commitment.engineHourMinorUnits = reader.integer("engineHourMinorUnits");
    return readResult(reader, commitment);
}

} // namespace peridotgrade
