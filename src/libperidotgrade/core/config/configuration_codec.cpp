// Encodes and decodes log records, changes and whole configurations.
#include "peridotgrade/core/config/configuration_codec.h"

#include "value_json.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include <utility>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    struct ChangeWriter {
        json::object operator()(const SetEngine& change) const
        {
            return { { "setEngine", objectOf(change.engine) } };
        }
        json::object operator()(const RemoveEngine& change) const
        {
            return { { "removeEngine", change.agent.raw() } };
        }
        json::object operator()(const SetWorkspace& change) const
        {
            return { { "setWorkspace", objectOf(change.workspace) } };
        }
        json::object operator()(const RemoveWorkspace& change) const
        {
            return { { "removeWorkspace", change.id.raw() } };
        }
        json::object operator()(const SetService& change) const
        {
            return { { "setService", objectOf(change.service) } };
        }
        json::object operator()(const RemoveService& change) const
        {
            return { { "removeService", change.id.raw() } };
        }
        json::object operator()(const SetCommitment& change) const
        {
            return { { "setCommitment", objectOf(change.commitment) } };
        }
    };

    template <typename Change, typename Value>
    std::variant<ConfigurationChange, ConfigError> changeOf(std::variant<Value, ConfigError> value)
    {
        if (auto* error = std::get_if<ConfigError>(&value))
            return std::move(*error);
        return ConfigurationChange { Change { std::move(std::get<Value>(value)) } };
    }

    /// Decodes each element with `from` and passes it to `insert`; stops at the first error.
    template <typename From, typename Insert>
    std::optional<ConfigError> readEach(const json::array& array, From from, Insert insert)
    {
        for (const json::value& element : array) {
            auto value = from(element);
            if (auto* error = std::get_if<ConfigError>(&value))
                return std::move(*error);
            insert(std::move(std::get<0>(value)));
        }
        return std::nullopt;
    }

    std::variant<HistoryEntry, ConfigError> historyEntryFrom(const json::value& value)
    {
        JsonReader reader(value, "history entry");
        HistoryEntry entry;
        entry.version = ConfigVersion { reader.integer("version") };
        entry.base = ConfigVersion { reader.integer("base") };
        entry.plan = PlanId { reader.text("plan") };
        entry.operatorName = reader.text("operator");
        entry.summary = reader.text("summary");
        auto sinceEpoch = std::chrono::milliseconds { static_cast<std::int64_t>(reader.integer("timeMs")) };
        entry.confirmedAt = WallTime { sinceEpoch };
        return readResult(reader, std::move(entry));
    }

    json::object objectOfRecord(const PlanConfirmation& confirmed)
    {
        json::array changes;
        for (const ConfigurationChange& change : confirmed.changes)
            changes.push_back(toJson(change));
        json::object object;
        object["kind"] = "confirmed";
        object["plan"] = confirmed.plan.raw();
        object["base"] = confirmed.base.raw();
        object["operator"] = confirmed.operatorName;
        object["summary"] = confirmed.summary;
        object["changes"] = std::move(changes);
        return object;
    }

    json::object objectOfRecord(const Snapshot& snapshot)
    {
        json::array history;
        for (const HistoryEntry& entry : snapshot.history)
            history.push_back(toJson(entry));
        json::object object;
        object["kind"] = "snapshot";
        object["version"] = snapshot.version.raw();
        object["through"] = snapshot.through.raw();
        object["configuration"] = toJson(snapshot.configuration);
        object["history"] = std::move(history);
        return object;
    }

    std::variant<ConfigurationRecord, ConfigError> confirmedFrom(const json::value& value)
    {
        JsonReader reader(value, "confirmation");
        PlanConfirmation confirmed;
        confirmed.plan = PlanId { reader.text("plan") };
        confirmed.base = ConfigVersion { reader.integer("base") };
        confirmed.operatorName = reader.text("operator");
        confirmed.summary = reader.text("summary");
        auto error = readEach(
            reader.arrayOr("changes"), [](const json::value& each) { return configurationChangeFrom(each); },
            [&](ConfigurationChange change) { confirmed.changes.push_back(std::move(change)); });
        if (error)
            return std::move(*error);
        return readResult<ConfigurationRecord>(reader, std::move(confirmed));
    }

    std::variant<ConfigurationRecord, ConfigError> snapshotFrom(const json::value& value)
    {
        JsonReader reader(value, "snapshot");
        Snapshot snapshot;
        snapshot.version = ConfigVersion { reader.integer("version") };
        snapshot.through = LogOffset { reader.integer("through") };
        const json::value* configuration = reader.child("configuration");
        if (configuration == nullptr)
            return ConfigError { ConfigErrorKind::Malformed, "snapshot without configuration" };
        auto read = siteConfigurationFrom(*configuration);
        if (auto* error = std::get_if<ConfigError>(&read))
            return std::move(*error);
        snapshot.configuration = std::move(std::get<SiteConfiguration>(read));
        auto error = readEach(reader.arrayOr("history"), historyEntryFrom,
            [&](HistoryEntry entry) { snapshot.history.push_back(std::move(entry)); });
        if (error)
            return std::move(*error);
        return readResult<ConfigurationRecord>(reader, std::move(snapshot));
    }

} // namespace

json::value toJson(const SiteConfiguration& configuration)
{
    json::array engines;
    for (const auto& [id, engine] : configuration.engines)
        engines.push_back(objectOf(engine));
    json::array workspaces;
    for (const auto& [id, workspace] : configuration.workspaces)
        workspaces.push_back(objectOf(workspace));
    json::array services;
    for (const auto& [id, service] : configuration.services)
        services.push_back(objectOf(service));
    json::object object;
    object["engines"] = std::move(engines);
    object["workspaces"] = std::move(workspaces);
    object["services"] = std::move(services);
    object["commitment"] = objectOf(configuration.commitment);
    return object;
}

json::value toJson(const ConfigurationChange& change) { return std::visit(ChangeWriter {}, change); }

json::value toJson(const HistoryEntry& entry)
{
    json::object object;
    object["version"] = entry.version.raw();
    object["base"] = entry.base.raw();
    object["plan"] = entry.plan.raw();
    object["operator"] = entry.operatorName;
    object["summary"] = entry.summary;
    object["timeMs"] = entry.confirmedAt.time_since_epoch().count();
    return object;
}

std::variant<SiteConfiguration, ConfigError> siteConfigurationFrom(const json::value& value)
{
    JsonReader reader(value, "configuration");
    SiteConfiguration result;
    auto error = readEach(reader.arrayOr("engines"), engineFrom,
        [&](EngineAssignment engine) { result.engines[engine.agent] = std::move(engine); });
    if (!error) {
        error = readEach(reader.arrayOr("workspaces"), workspaceFrom,
            [&](Workspace workspace) { result.workspaces[workspace.id] = std::move(workspace); });
    }
    if (!error) {
        error = readEach(reader.arrayOr("services"), serviceFrom,
            [&](ServiceConfiguration service) { result.services[service.id] = std::move(service); });
    }
    if (error)
        return std::move(*error);
    const json::value* commitment = reader.child("commitment");
    if (commitment == nullptr)
        return readResult(reader, std::move(result));
    auto read = commitmentFrom(*commitment);
    if (auto* problem = std::get_if<ConfigError>(&read))
        return std::move(*problem);
    result.commitment = std::get<Commitment>(read);
    return readResult(reader, std::move(result));
}

std::variant<ConfigurationChange, ConfigError> configurationChangeFrom(const json::value& value)
{
    JsonReader reader(value, "change");
    if (const json::value* engine = reader.child("setEngine"))
        return changeOf<SetEngine>(engineFrom(*engine));
    if (const json::value* workspace = reader.child("setWorkspace"))
        return changeOf<SetWorkspace>(workspaceFrom(*workspace));
    if (const json::value* service = reader.child("setService"))
        return changeOf<SetService>(serviceFrom(*service));
    if (const json::value* commitment = reader.child("setCommitment"))
        return changeOf<SetCommitment>(commitmentFrom(*commitment));
    ConfigurationChange removal;
    if (reader.has("removeEngine"))
        removal = RemoveEngine { AgentId { reader.text("removeEngine") } };
    else if (reader.has("removeWorkspace"))
        removal = RemoveWorkspace { WorkspaceId { reader.text("removeWorkspace") } };
    else if (reader.has("removeService"))
        removal = RemoveService { ServiceId { reader.text("removeService") } };
    else
        return ConfigError { ConfigErrorKind::Malformed, "a change of unknown kind" };
    return readResult(reader, std::move(removal));
}

std::string encodeRecord(const ConfigurationRecord& record)
{
    json::object object = std::visit([](const auto& each) { return objectOfRecord(each); }, record);
    return json::serialize(object);
}

std::variant<ConfigurationRecord, ConfigError> decodeRecord(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error)
        return ConfigError { ConfigErrorKind::Malformed, "configuration record is not JSON" };
    JsonReader reader(value, "record");
    std::string kind = reader.text("kind");
    if (kind == "confirmed")
        return confirmedFrom(value);
    if (kind == "snapshot")
        return snapshotFrom(value);
    return ConfigError { ConfigErrorKind::Malformed, "configuration record of unknown kind" };
}

std::uint64_t digestOf(const SiteConfiguration& configuration)
{
    std::string text = json::serialize(toJson(configuration));
    return XXH3_64bits(text.data(), text.size());
}

} // namespace peridotgrade
