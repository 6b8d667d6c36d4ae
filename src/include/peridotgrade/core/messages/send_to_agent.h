// What any of an entry's state machines tells its surroundings: send this to that agent.
#pragma once

#include "peridotgrade/core/messages/messages.h"

namespace peridotgrade {

struct SendToAgent {
    AgentId agent;
    EntryMessage message;
};

} // namespace peridotgrade
