// Action returned by the state machines of an entry: send a message to an agent.
#pragma once

#include "peridotgrade/core/messages/messages.h"

namespace peridotgrade {

struct SendToAgent {
    AgentId agent;
    EntryMessage message;
};

} // namespace peridotgrade
