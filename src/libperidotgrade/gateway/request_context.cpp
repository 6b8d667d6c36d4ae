// What a request's own time limit tells.
#include "peridotgrade/gateway/request_context.h"

namespace peridotgrade {

namespace {
    // A caller's first attempt has at least this share of the route's time.
    constexpr double FirstAttemptShare = 0.8;
} // namespace

bool isFirstAttempt(const RequestContext& context)
{
    const auto& callerTimeout = context.request.callerTimeout;
    return !callerTimeout || *callerTimeout >= context.route.timeout * FirstAttemptShare;
}

} // namespace peridotgrade
