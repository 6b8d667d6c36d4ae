// Conversions between the variants of messages and the Thrift unions.
#pragma once

#include "peridot_types.h"

#include "peridotgrade/core/messages/messages.h"

#include <optional>

namespace peridotgrade {

wire::EntryMessage toWire(const EntryMessage& message);
wire::AgentMessage toWire(const AgentMessage& message);

/// Returns nothing if the union contains no member that this version defines.
std::optional<EntryMessage> fromWire(wire::EntryMessage&& message);
std::optional<AgentMessage> fromWire(wire::AgentMessage&& message);

} // namespace peridotgrade
