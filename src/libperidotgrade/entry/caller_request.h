// What is known of a caller's request before it is understood.
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

/// An authenticated request with its time limit.
struct CallerRequest {
    Workspace workspace;
    TimePoint arrivedAt;
    /// Never extended.
    TimePoint deadline;
    /// The id that the caller gave; empty if it gave none.
    std::string callerRequestId;

    /// What the caller is told as the id of its request.
    std::string displayId(RequestId id) const;
};

/// Looks up the workspace of the bearer key, and reads the caller's time limit and request id.
std::variant<CallerRequest, ApiError> readCallerRequest(const HttpRequest& request,
    const SiteConfiguration& configuration, const EntryLimits& limits, TimePoint now);

} // namespace peridotgrade
