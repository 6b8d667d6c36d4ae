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
    /// True if the engine rejects commands with a stale fencing token.
    bool checksFence = false;
};

/// Everything that an agent reads from its settings file. Made by AgentSettingsBuilder.
struct AgentSettings {
    NodeSettings node;
    ServiceId service;
    BackendSettings backend;
    /// The address from which the engine fetches weights; the platform's address if not set.
    Endpoint weightStore;
    /// Reservations of an entry expire this long after the entry last renewed its lease.
    std::chrono::milliseconds leaseDuration { 3'000 };
    std::uint32_t prefillsAtOnce = 2;
    std::uint32_t maxQueuedAsks = 32;
    /// How long a stopping agent waits for running requests to end.
    std::chrono::milliseconds drainTimeout { 120'000 };
    /// Interval at which the agent reads the engine's state.
    std::chrono::milliseconds stateInterval { 1'000 };
};

/// Builds agent settings; `build` checks what a schema cannot express.
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

/// The same for text that was read from `file`.
std::variant<AgentSettings, SettingsError> parseAgentSettings(
    const std::string& text, const std::string& file);

/// JSON Schema of the file.
std::string_view agentSettingsSchema();

} // namespace peridotgrade
