// Commands that bring an engine to its assignment.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/session_messages.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgrade {

enum class ConfigurationCommandKind : std::uint8_t { Load, Unload, ChangeRole };

std::string_view nameOf(ConfigurationCommandKind kind);

/// One command to an engine, derived from the configuration in force.
struct ConfigurationCommand {
    /// Fencing token: the version of the configuration.
    ConfigVersion fence;
    ConfigurationCommandKind kind = ConfigurationCommandKind::Load;
    ModelId model;
    std::string modelVersion;
    /// The adapter to load; empty if the command concerns the model itself.
    std::string adapter;
    EngineRole role = EngineRole::Mixed;
};

/// How an engine answered a command.
enum class CommandResult : std::uint8_t {
    Accepted,
    /// The engine has seen a higher fencing token.
    StaleFence,
    /// Rejected for another reason.
    Refused,
    /// No answer: the engine may have accepted the command, or the command may still arrive.
    AnswerLost,
};

} // namespace peridotgrade
