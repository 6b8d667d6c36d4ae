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
    /// No response: it is unknown whether the engine holds anything for the call.
    NoAnswer,
    /// The engine rejected the call and holds nothing for it.
    Refused,
    /// The exporter no longer has the KV cache to import.
    KvGone,
    TransferStalled,
    /// The response violates the engine's protocol.
    Malformed,
};

std::string_view nameOf(EngineErrorKind kind);

/// Why a call to an engine failed.
struct EngineError {
    EngineErrorKind kind = EngineErrorKind::NoAnswer;
    std::string detail;
};

/// Converts an error of the connection to the engine.
EngineError engineErrorFrom(const NetError& error);

/// Converts a response whose status is not a success.
EngineError engineErrorFrom(const HttpResponse& response);

/// Converts the error of a call to the reason of the attempt's failure.
AttemptFailure attemptFailureFrom(const EngineError& error);

} // namespace peridotgrade
