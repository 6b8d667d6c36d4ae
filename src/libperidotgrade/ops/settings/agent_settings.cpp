// Reads the agent's settings file and checks what the schema cannot express.
#include "peridotgrade/ops/settings/agent_settings.h"

#include "peridotgrade/ops/settings/schema_check.h"
#include "peridotgrade/ops/settings/settings_reader.h"

#include <boost/json/value.hpp>

#include <utility>

namespace peridotgrade {

namespace {

    BackendSettings readBackend(SettingsReader& reader)
    {
        BackendSettings backend;
        std::string kind;
        reader.read("kind", kind);
        backend.kind = kind == "application" ? VmKind::Application : VmKind::Engine;
        reader.read("address", backend.address);
        reader.read("checksFence", backend.checksFence);
        return backend;
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

} // namespace

AgentSettingsBuilder& AgentSettingsBuilder::node(NodeSettings value)
{
    this->settings.node = std::move(value);
    return *this;
}

AgentSettingsBuilder& AgentSettingsBuilder::service(ServiceId value)
{
    this->settings.service = std::move(value);
    return *this;
}

AgentSettingsBuilder& AgentSettingsBuilder::backend(BackendSettings value)
{
    this->settings.backend = std::move(value);
    return *this;
}

AgentSettingsBuilder& AgentSettingsBuilder::weightStore(Endpoint value)
{
    this->settings.weightStore = std::move(value);
    return *this;
}

AgentSettingsBuilder& AgentSettingsBuilder::leaseDuration(std::chrono::milliseconds value)
{
    this->settings.leaseDuration = value;
    return *this;
}

AgentSettingsBuilder& AgentSettingsBuilder::prefillsAtOnce(std::uint32_t value)
{
    this->settings.prefillsAtOnce = value;
    return *this;
}

AgentSettingsBuilder& AgentSettingsBuilder::maxQueuedAsks(std::uint32_t value)
{
    this->settings.maxQueuedAsks = value;
    return *this;
}

AgentSettingsBuilder& AgentSettingsBuilder::drainTimeout(std::chrono::milliseconds value)
{
    this->settings.drainTimeout = value;
    return *this;
}

AgentSettingsBuilder& AgentSettingsBuilder::stateInterval(std::chrono::milliseconds value)
{
    this->settings.stateInterval = value;
    return *this;
}

std::variant<AgentSettings, SettingsError> AgentSettingsBuilder::build() const
{
    const AgentSettings& built = this->settings;
    bool isListenerShared
        = built.node.peerListen.port != 0 && built.node.peerListen == built.node.adminListen;
    if (isListenerShared)
        return badValue("peerListen", "is the same address as adminListen", "give it a port of its own");
    if (built.backend.kind == VmKind::Application && built.backend.checksFence)
        return badValue("backend.checksFence", "is set for an application server, which takes no commands",
            "remove it or set kind to \"engine\"");
    return built;
}

std::variant<AgentSettings, SettingsError> parseAgentSettings(
    const std::string& text, const std::string& file)
{
    auto checked = parseChecked(text, file, agentSettingsSchema());
    if (auto* error = std::get_if<SettingsError>(&checked))
        return std::move(*error);
    SettingsReader reader(std::get<boost::json::object>(checked), file);
    SettingsReader backendReader = reader.inner("backend");
    AgentSettings read;
    std::string service;
    read.node = reader.node();
    reader.read("service", service);
    read.backend = readBackend(backendReader);
    read.weightStore = read.node.platform;
    reader.read("weightStore", read.weightStore);
    reader.read("leaseDurationMs", read.leaseDuration);
    reader.read("prefillsAtOnce", read.prefillsAtOnce);
    reader.read("maxQueuedAsks", read.maxQueuedAsks);
    reader.read("drainTimeoutMs", read.drainTimeout);
    reader.read("stateIntervalMs", read.stateInterval);
    if (reader.error() || backendReader.error())
        return reader.error() ? *reader.error() : *backendReader.error();
    AgentSettingsBuilder builder;
    builder.node(read.node)
        .service(ServiceId { service })
        .backend(read.backend)
        .weightStore(read.weightStore);
    builder.leaseDuration(read.leaseDuration).prefillsAtOnce(read.prefillsAtOnce);
    builder.maxQueuedAsks(read.maxQueuedAsks)
        .drainTimeout(read.drainTimeout)
        .stateInterval(read.stateInterval);
    auto built = builder.build();
    if (auto* error = std::get_if<SettingsError>(&built))
        error->file = file;
    return built;
}

std::variant<AgentSettings, SettingsError> readAgentSettings(const std::string& path)
{
    auto text = readFile(path);
    if (auto* error = std::get_if<SettingsError>(&text))
        return std::move(*error);
    return parseAgentSettings(std::get<std::string>(text), path);
}

} // namespace peridotgrade
