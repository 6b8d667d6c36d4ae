// Errors of the platform's log service.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/net/http_message.h"
#include "peridotgrade/net/net_error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgrade {

enum class LogErrorKind : std::uint8_t {
    /// Certainly not appended or read: append rate exceeded, service outage, or no connection.
    Refused,
    /// The response was lost: an append may have taken effect.
    Unknown,
    /// The requested offset is below the oldest record retained.
    Gone,
    /// The response violates the service's protocol; an append may have taken effect.
    Malformed,
};

std::string_view nameOf(LogErrorKind kind);

/// Why a call to the log failed. `oldest` and `next` are set only for `Gone`.
struct LogError {
    LogErrorKind kind = LogErrorKind::Unknown;
    LogOffset oldest;
    LogOffset next;
    std::string detail;
};

/// Converts an error of the connection to the log.
LogError logErrorFrom(const NetError& error);

/// Converts a response whose status is not a success.
LogError logErrorFrom(const HttpResponse& response);

} // namespace peridotgrade
