// Actions that a model host requests from its owner.
#pragma once

#include "peridotgrade/core/hosting/engine_command.h"
#include "peridotgrade/core/messages/messages.h"

#include <variant>

namespace peridotgrade {

/// One connection of an entry shard to this agent. The agent assigns the numbers and never reuses one.
using ConnectionId = StrongId<struct ConnectionIdTag, std::uint64_t>;

struct SendToEntry {
    ConnectionId connection;
    AgentMessage message;
};

struct SendToEngine {
    EngineCommand command;
};

using HostAction = std::variant<SendToEntry, SendToEngine>;

} // namespace peridotgrade
