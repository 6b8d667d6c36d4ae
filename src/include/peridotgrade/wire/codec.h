// Encodes messages to frames and decodes them, in Thrift's compact protocol.
#pragma once

#include "peridotgrade/core/base/hybrid_time.h"
#include "peridotgrade/core/messages/messages.h"
#include "peridotgrade/wire/wire_error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

/// The decoder rejects larger frames; a FrameConnection by default neither sends nor accepts them.
constexpr std::size_t MaxFrameBytes = 8 * 1024 * 1024;

/// A decoded message with the sender's hybrid logical clock.
struct EntryFrame {
    EntryMessage message;
    HybridTime clock;
};

struct AgentFrame {
    AgentMessage message;
    HybridTime clock;
};

/// Returns the body of a frame. Thread safe.
std::string encode(const EntryMessage& message, HybridTime clock = HybridTime {});
std::string encode(const AgentMessage& message, HybridTime clock = HybridTime {});

/// Decode input from an untrusted peer: malformed, unknown or oversized input gives an error, and memory use
/// is proportional to the size of the input. Thread safe.
std::variant<EntryFrame, WireError> decodeEntryFrame(std::string_view frame);
std::variant<AgentFrame, WireError> decodeAgentFrame(std::string_view frame);

/// As above, without the clock.
std::variant<EntryMessage, WireError> decodeEntryMessage(std::string_view frame);
std::variant<AgentMessage, WireError> decodeAgentMessage(std::string_view frame);

} // namespace peridotgrade
