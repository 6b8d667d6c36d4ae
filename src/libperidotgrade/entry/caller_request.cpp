// Reading of the header fields that all requests of callers have in common.
#include "caller_request.h"

#include "peridotgrade/core/base/key_hash.h"
#include "peridotgrade/ops/id_text.h"

#include <algorithm>
#include <charconv>

namespace peridotgrade {

namespace {

    constexpr std::string_view BearerPrefix = "Bearer ";
    constexpr std::size_t MaxCallerRequestIdBytes = 64;

    ApiError unauthorized()
    {
        ApiError error;
        error.status = 401;
        error.type = "authentication_error";
        error.code = "invalid_api_key";
        error.message = "the field Authorization must hold 'Bearer ' and the key of a workspace";
        return error;
    }

    std::variant<std::chrono::milliseconds, ApiError> timeoutFrom(
        std::string_view text, const EntryLimits& limits)
    {
        if (text.empty())
            return limits.requestTimeout;
        std::uint32_t value = 0;
        auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (status != std::errc {} || end != text.data() + text.size() || value == 0)
            return invalidRequest(
                "X-Request-Timeout-Ms must be a whole number above 0", "X-Request-Timeout-Ms");
        return std::min(std::chrono::milliseconds { value }, limits.requestTimeout);
    }

    /// Ids are written to logs and timelines, so only short ones of plain characters are accepted.
    std::string callerRequestIdFrom(std::string_view text)
    {
        bool isPlain = std::all_of(text.begin(), text.end(),
            [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
        return isPlain && text.size() <= MaxCallerRequestIdBytes ? std::string { text } : std::string {};
    }

} // namespace

std::string CallerRequest::displayId(RequestId id) const
{
    return this->callerRequestId.empty() ? textOf(id) : this->callerRequestId;
}

std::variant<CallerRequest, ApiError> readCallerRequest(const HttpRequest& request,
    const SiteConfiguration& configuration, const EntryLimits& limits, TimePoint now)
{
    std::string_view credential = request.field("Authorization");
    if (!credential.starts_with(BearerPrefix))
        return unauthorized();
    const Workspace* workspace
        = configuration.workspaceOfKey(keySha256(credential.substr(BearerPrefix.size())));
    if (workspace == nullptr)
        return unauthorized();
    auto timeout = timeoutFrom(request.field("X-Request-Timeout-Ms"), limits);
    if (auto* error = std::get_if<ApiError>(&timeout))
        return std::move(*error);
    CallerRequest caller;
    caller.workspace = *workspace;
    caller.arrivedAt = now;
    caller.deadline = now + std::get<std::chrono::milliseconds>(timeout);
    caller.callerRequestId = callerRequestIdFrom(request.field(RequestIdFieldName));
    return caller;
}

} // namespace peridotgrade
