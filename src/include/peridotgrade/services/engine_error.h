// Errors of calls to an engine.
#pragma once

#include "peridotgrade/core/messages/stream_messages.h"
#include "peridotgrade/net/http_message.h"
#include "peridotgrade/net/net_error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgrade {

enum class EngineErrorKind : std::uint8_t {
    /// No answer: whether the engine holds anything for the call is unknown.
    NoAnswer,
    /// The engine answered that it does not run the call, and holds nothing for it.
    Refused,
    /// The KV cache to import is gone at its exporter.
    KvGone,
    TransferStalled,
    /// The answer is not the engine's protocol.
    Malformed,
};

std::string_view nameOf(EngineErrorKind kind);

/// What went wrong in a call to an engine.
struct EngineError {
    EngineErrorKind kind = EngineErrorKind::NoAnswer;
    std::string detail;
};

/// The engine layer's error for an error of the connection to it.
EngineError engineErrorFrom(const NetError& error);

/// The engine layer's error for a response that is not a success.
EngineError engineErrorFrom(const HttpResponse& response);

/// The failure of an attempt for an error of its call.
AttemptFailure attemptFailureFrom(const EngineError& error);

} // namespace peridotgrade
