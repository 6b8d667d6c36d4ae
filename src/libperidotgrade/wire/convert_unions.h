// One message to its member of the Thrift union and back.
#pragma once

#include "peridot_types.h"

#include "peridotgrade/core/messages/messages.h"

#include <optional>

namespace peridotgrade {

wire::EntryMessage toWire(const EntryMessage& message);
wire::AgentMessage toWire(const AgentMessage& message);

/// Nothing if the union holds no member that this version knows.
std::optional<EntryMessage> fromWire(wire::EntryMessage&& message);
std::optional<AgentMessage> fromWire(wire::AgentMessage&& message);

} // namespace peridotgrade
