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
    /// Surely not appended or read: over the append rate, an outage, or no connection.
    Refused,
    /// The answer was lost: an append may have taken effect.
    Unknown,
    /// The offset asked for is below the oldest record kept.
    Gone,
    /// The service answered with something that is not its protocol; an append may have taken effect.
    Malformed,
};

std::string_view nameOf(LogErrorKind kind);

/// What went wrong at the log. `oldest` and `next` are set for `Gone` only.
struct LogError {
    LogErrorKind kind = LogErrorKind::Unknown;
    LogOffset oldest;
    LogOffset next;
    std::string detail;
};

/// The log's error for an error of the connection to it.
LogError logErrorFrom(const NetError& error);

/// The log's error for a response that is not a success.
LogError logErrorFrom(const HttpResponse& response);

} // namespace peridotgrade
