// Reads the entry's settings file and checks what the schema cannot express.
#include "peridotgrade/ops/settings/entry_settings.h"

#include "peridotgrade/ops/settings/schema_check.h"
#include "peridotgrade/ops/settings/settings_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace peridotgrade {

namespace {

    LatencyTargets readTargets(SettingsReader reader)
    {
        LatencyTargets targets;
        reader.read("firstTokenMs", targets.firstToken);
        reader.read("interTokenMs", targets.interToken);
        return targets;
    }

    EntryLimits readLimits(SettingsReader reader)
    {
        EntryLimits limits;
        reader.read("maxBodyBytes", limits.maxBodyBytes);
        reader.read("maxHeaderBytes", limits.maxHeaderBytes);
        reader.read("maxConnections", limits.maxConnections);
        reader.read("maxOutputTokens", limits.maxOutputTokens);
        reader.read("requestTimeoutMs", limits.requestTimeout);
        reader.read("readTimeoutMs", limits.readTimeout);
        reader.read("writeTimeoutMs", limits.writeTimeout);
        reader.read("drainTimeoutMs", limits.drainTimeout);
        return limits;
    }

    void readOperators(const SettingsReader& reader, const std::string& file, EntrySettingsBuilder& builder)
    {
        const boost::json::value* operators = reader.fields().if_contains("operators");
        if (operators == nullptr)
            return;
        for (const boost::json::value& each : operators->as_array()) {
            SettingsReader inner(each.as_object(), file);
            OperatorCredential credential;
            inner.read("name", credential.name);
            inner.read("keySha256", credential.keySha256);
            builder.addOperator(std::move(credential));
        }
    }

    SettingsError badValue(std::string key, std::string problem, std::string fix)
    {
        SettingsError error;
        error.kind = SettingsErrorKind::BadValue;
        error.key = std::move(key);
        error.problem = std::move(problem);
        error.fix = std::move(fix);
        return error;
    }

    bool isSameListener(const Endpoint& one, const Endpoint& other) { return one.port != 0 && one == other; }

} // namespace

const OperatorCredential* EntrySettings::operatorOfKey(std::string_view keySha256) const
{
    for (const OperatorCredential& credential : this->operators) {
        if (credential.keySha256 == keySha256)
            return &credential;
    }
    return nullptr;
}

EntrySettingsBuilder& EntrySettingsBuilder::node(NodeSettings value)
{
    this->settings.node = std::move(value);
    return *this;
}

EntrySettingsBuilder& EntrySettingsBuilder::listen(Endpoint value)
{
    this->settings.listen = std::move(value);
    return *this;
}

EntrySettingsBuilder& EntrySettingsBuilder::targets(LatencyTargets value)
{
    this->settings.targets = value;
    return *this;
}

EntrySettingsBuilder& EntrySettingsBuilder::limits(EntryLimits value)
{
    this->settings.limits = value;
    return *this;
}

EntrySettingsBuilder& EntrySettingsBuilder::logRetention(std::chrono::milliseconds value)
{
    this->settings.logRetention = value;
    return *this;
}

EntrySettingsBuilder& EntrySettingsBuilder::addOperator(OperatorCredential value)
{
    this->settings.operators.push_back(std::move(value));
    return *this;
}

std::variant<EntrySettings, SettingsError> EntrySettingsBuilder::build() const
{
    const EntrySettings& built = this->settings;
    if (isSameListener(built.listen, built.node.adminListen))
        return badValue("adminListen", "is the same address as listen", "give it a port of its own");
    if (isSameListener(built.listen, built.node.peerListen))
        return badValue("peerListen", "is the same address as listen", "give it a port of its own");
    if (isSameListener(built.node.adminListen, built.node.peerListen))
        return badValue("peerListen", "is the same address as adminListen", "give it a port of its own");
    if (built.targets.firstToken >= built.limits.requestTimeout)
        return badValue("limits.requestTimeoutMs", "is not longer than targets.firstTokenMs",
            "give the time in milliseconds that a complete answer may take");
    return built;
}

std::variant<EntrySettings, SettingsError> parseEntrySettings(
    const std::string& text, const std::string& file)
{
    auto checked = parseChecked(text, file, entrySettingsSchema());
    if (auto* error = std::get_if<SettingsError>(&checked))
        return std::move(*error);
    SettingsReader reader(std::get<boost::json::object>(checked), file);
    Endpoint listen;
    reader.read("listen", listen);
    std::chrono::milliseconds retention = EntrySettings {}.logRetention;
    reader.read("logRetentionMs", retention);
    EntrySettingsBuilder builder;
    builder.node(reader.node()).listen(std::move(listen)).logRetention(retention);
    builder.targets(readTargets(reader.inner("targets"))).limits(readLimits(reader.inner("limits")));
    readOperators(reader, file, builder);
    if (reader.error())
        return *reader.error();
    auto built = builder.build();
    if (auto* error = std::get_if<SettingsError>(&built))
        error->file = file;
    return built;
}

std::variant<EntrySettings, SettingsError> readEntrySettings(const std::string& path)
{
    auto text = readFile(path);
    if (auto* error = std::get_if<SettingsError>(&text))
        return std::move(*error);
    return parseEntrySettings(std::get<std::string>(text), path);
}

} // namespace peridotgrade
