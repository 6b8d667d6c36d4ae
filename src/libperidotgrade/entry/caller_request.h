// Authentication and common header fields of a caller's request, read before its body is parsed.
#pragma once

#include "peridotgrade/callers/api_error.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/config/site_configuration.h"
#include "peridotgrade/net/http_message.h"
#include "peridotgrade/ops/settings/entry_settings.h"

#include <chrono>
#include <memory>
#include <string>
#include <variant>

namespace peridotgrade {

/// An authenticated request with its deadline.
struct CallerRequest {
    Workspace workspace;
    TimePoint arrivedAt;
    /// Never extended.
    TimePoint deadline;
    /// The caller's `X-Request-Id`; empty if it sent none that is valid.
    std::string callerRequestId;

    /// The request id shown to the caller: its own id if there is one, otherwise `id`.
    std::string displayId(RequestId id) const;
};

/// Looks up the workspace of the bearer key, and reads the caller's time-out and request id.
std::variant<CallerRequest, ApiError> readCallerRequest(const HttpRequest& request,
    const SiteConfiguration& configuration, const EntryLimits& limits, TimePoint now);

} // namespace peridotgrade
