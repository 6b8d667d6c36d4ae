// Status, type and message of each refusal, and error bodies.
#include "peridotgrade/callers/api_error.h"

#include <boost/json.hpp>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    /// How one refusal reason is reported to callers.
    struct RefusalDescription {
        std::uint16_t status;
        std::string_view type;
        std::string_view message;
    };

    constexpr std::string_view Overloaded = "overloaded_error";
    constexpr std::string_view Invalid = "invalid_request_error";
    constexpr std::string_view Server = "server_error";

    RefusalDescription descriptionOf(RefusalReason reason)
    {
        switch (reason) {
        case RefusalReason::WorkspaceLimit:
            return { 429, "rate_limit_error", "the workspace has used up its limit" };
        case RefusalReason::NoCapacity:
            return { 503, Overloaded, "no backend server has capacity for this request in time" };
        case RefusalReason::DeadlineUnreachable:
            return { 503, Overloaded, "the answer can no longer be had before the deadline" };
        case RefusalReason::ModelNotServed:
            return { 404, Invalid, "no backend server serves this" };
        case RefusalReason::Quarantined:
            return { 422, Invalid, "this request has crashed the servers that ran it" };
        case RefusalReason::RetryBudgetSpent:
            return { 503, Overloaded, "a try failed and the retry budget is spent" };
        case RefusalReason::BackendLost:
            return { 502, Server, "the backend server was lost" };
        case RefusalReason::LogUnavailable:
            return { 503, Server, "the log is out of reach, so the action was not started" };
        case RefusalReason::KeyTooOld:
            return { 400, Invalid, "the idempotency key is too old" };
        case RefusalReason::KeyFromFuture:
            return { 400, Invalid, "the idempotency key's time lies in the future" };
        case RefusalReason::KeyConflict:
            return { 422, Invalid, "the idempotency key was used for a different call" };
        case RefusalReason::ResultNotKept:
            return { 409, Server, "the action ran before, and its answer is not kept any more" };
        case RefusalReason::ShuttingDown:
            return { 503, Overloaded, "this entry is stopping" };
        case RefusalReason::NotReady:
            return { 503, Overloaded, "this entry has no configuration yet" };
        case RefusalReason::CallerGone:
            break;
        }
        return { 499, Invalid, "the caller is gone" };
    }

    std::int64_t secondsRoundedUp(std::chrono::milliseconds wait)
    {
        return std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(wait).count());
    }

} // namespace

ApiError invalidRequest(std::string message, std::string param)
{
    ApiError error;
    error.status = 400;
    error.type = std::string { Invalid };
    error.code = "invalid_request";
    error.message = std::move(message);
    error.param = std::move(param);
    return error;
}

ApiError apiErrorFrom(const Refusal& refusal)
{
    RefusalDescription description = descriptionOf(refusal.reason);
    ApiError error;
    error.status = description.status;
    error.type = std::string { description.type };
    error.code = std::string { nameOf(refusal.reason) };
    error.message = std::string { description.message };
    error.outcome = refusal.outcome;
    error.retryAfter = refusal.retryAfter;
    // 429 and 503 make clients and load balancers retry, which is safe only if the request was not run.
    bool invitesRetry = error.status == 503 || error.status == 429;
    if (refusal.outcome == Outcome::Unknown && invitesRetry) {
        error.status = 502;
        error.retryAfter.reset();
    }
    return error;
}

std::string errorBody(const ApiError& error)
{
    json::object details;
    details["message"] = error.message;
    details["type"] = error.type;
    details["code"] = error.code;
    details["param"] = nullptr;
    if (!error.param.empty())
        details["param"] = error.param;
    details["outcome"] = std::string_view { nameOf(error.outcome) };
    if (error.retryAfter)
        details["retry_after_ms"] = error.retryAfter->count();
    json::object body;
    body["error"] = std::move(details);
    return json::serialize(body);
}

HttpResponse errorResponse(const ApiError& error, std::string_view requestId)
{
    HttpResponse response;
    response.status = error.status;
    response.fields.push_back({ std::string { OutcomeFieldName }, std::string { nameOf(error.outcome) } });
    response.fields.push_back({ std::string { RequestIdFieldName }, std::string { requestId } });
    if (error.retryAfter)
        response.fields.push_back({ "Retry-After", std::to_string(secondsRoundedUp(*error.retryAfter)) });
    response.body = errorBody(error);
    return response;
}

} // namespace peridotgrade
