// Parsing of application calls from HTTP requests.
#pragma once

#include "peridotgrade/callers/api_error.h"
#include "peridotgrade/core/actions/action_router.h"
#include "peridotgrade/net/http_message.h"

#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

/// Path prefix of application calls: `/apps/<service>/<path>`.
constexpr std::string_view CallPrefix = "/apps/";

/// An application call with its service and, for an action, its idempotency key.
struct CallPath {
    ServiceId service;
    IdempotencyKey key;
    ApplicationCall call;
};

/// Parses an application call. `GET` and `HEAD` are reads; all other methods are actions and need an
/// `Idempotency-Key`, a UUID of version 7. Headers that concern this connection or the caller's credential
/// are not forwarded.
std::variant<CallPath, ApiError> parseCall(const HttpRequest& request);

/// True if `text` is a time-ordered UUID (version 7) in the canonical textual form.
bool isTimeOrderedUuid(std::string_view text);

} // namespace peridotgrade
