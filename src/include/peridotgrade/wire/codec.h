// Messages to frames and back, by Thrift's compact protocol.
#pragma once

#include "peridotgrade/core/base/hybrid_time.h"
#include "peridotgrade/core/messages/messages.h"
#include "peridotgrade/wire/wire_error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

/// Frames above this size are refused when sending and when receiving.
constexpr std::size_t MaxFrameBytes = 8 * 1024 * 1024;

/// A message as it came, with the sender's hybrid logical clock.
struct EntryFrame {
    EntryMessage message;
    HybridTime clock;
};

struct AgentFrame {
    AgentMessage message;
    HybridTime clock;
};

/// The body of a frame. Thread safe.
std::string encode(const EntryMessage& message, HybridTime clock = HybridTime {});
std::string encode(const AgentMessage& message, HybridTime clock = HybridTime {});

/// Decode what an untrusted peer sent: malformed, unknown or oversized input gives an error, and memory use
/// stays in proportion to the size of the input. Thread safe.
std::variant<EntryFrame, WireError> decodeEntryFrame(std::string_view frame);
std::variant<AgentFrame, WireError> decodeAgentFrame(std::string_view frame);

/// As above, for those that have no use for the clock.
std::variant<EntryMessage, WireError> decodeEntryMessage(std::string_view frame);
std::variant<AgentMessage, WireError> decodeAgentMessage(std::string_view frame);

} // namespace peridotgrade
