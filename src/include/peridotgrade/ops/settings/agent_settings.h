// Settings of an agent.
#pragma once

#include "peridotgrade/core/membership/vm_record.h"
#include "peridotgrade/ops/settings/node_settings.h"
#include "peridotgrade/ops/settings/settings_error.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

/// The backend server beside the agent. `kind` is Engine or Application.
struct BackendSettings {
    VmKind kind = VmKind::Engine;
    Endpoint address;
    /// True if the engine refuses orders with an old fencing number.
    bool checksFence = false;
};

/// Everything that an agent reads from its settings file. Made by AgentSettingsBuilder.
struct AgentSettings {
    NodeSettings node;
    ServiceId service;
    BackendSettings backend;
    /// Where the engine fetches weights; the platform's address if not set.
    Endpoint weightStore;
    /// Holds of an entry lapse this long after its last renewal.
    std::chrono::milliseconds leaseDuration { 3'000 };
    std::uint32_t prefillsAtOnce = 2;
    std::uint32_t maxQueuedAsks = 32;
    /// How long a stopping agent lets running requests go on.
    std::chrono::milliseconds drainTimeout { 120'000 };
    /// How often the engine's state is read back.
    std::chrono::milliseconds stateInterval { 1'000 };
};

/// Builds agent settings; `build` checks what a schema cannot say.
class AgentSettingsBuilder {
public:
    AgentSettingsBuilder& node(NodeSettings value);
    AgentSettingsBuilder& service(ServiceId value);
    AgentSettingsBuilder& backend(BackendSettings value);
    AgentSettingsBuilder& weightStore(Endpoint value);
    AgentSettingsBuilder& leaseDuration(std::chrono::milliseconds value);
    AgentSettingsBuilder& prefillsAtOnce(std::uint32_t value);
    AgentSettingsBuilder& maxQueuedAsks(std::uint32_t value);
    AgentSettingsBuilder& drainTimeout(std::chrono::milliseconds value);
    AgentSettingsBuilder& stateInterval(std::chrono::milliseconds value);
    std::variant<AgentSettings, SettingsError> build() const;

private:
    AgentSettings settings;
};

/// Reads and checks an agent's settings file.
std::variant<AgentSettings, SettingsError> readAgentSettings(const std::string& path);

/// The same for a text that was read from `file`.
std::variant<AgentSettings, SettingsError> parseAgentSettings(
    const std::string& text, const std::string& file);

/// JSON Schema of the file.
std::string_view agentSettingsSchema();

} // namespace peridotgrade
