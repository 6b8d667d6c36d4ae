// Application calls as callers make them.
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

/// A call with its service and, if it is an action, its idempotency key.
struct CallPath {
    ServiceId service;
    IdempotencyKey key;
    ApplicationCall call;
};

/// Takes an application call from an HTTP request. `GET` and `HEAD` are reads; all others are actions and
/// need an `Idempotency-Key`, a UUID of version 7. Fields that concern this connection or the caller's
/// credential are not passed on.
std::variant<CallPath, ApiError> parseCall(const HttpRequest& request);

/// True if `text` is a time-ordered UUID (version 7) in its usual form.
bool isTimeOrderedUuid(std::string_view text);

} // namespace peridotgrade
