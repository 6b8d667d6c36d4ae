// What a model host tells its surroundings to do.
#pragma once

#include "peridotgrade/core/hosting/engine_command.h"
#include "peridotgrade/core/messages/messages.h"

#include <variant>

namespace peridotgrade {

/// One connection of an entry shard to this agent, numbered by the agent; never used twice.
using ConnectionId = StrongId<struct ConnectionIdTag, std::uint64_t>;

struct SendToEntry {
    ConnectionId connection;
    AgentMessage message;
};

struct TellEngine {
    EngineCommand command;
};

using HostAction = std::variant<SendToEntry, TellEngine>;

} // namespace peridotgrade
