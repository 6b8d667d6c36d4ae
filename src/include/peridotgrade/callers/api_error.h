// Error responses to callers.
#pragma once

#include "peridotgrade/core/base/outcome.h"
#include "peridotgrade/net/http_message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// Response header with the outcome of a request: `answered`, `not-run` or `unknown`.
constexpr std::string_view OutcomeFieldName = "X-Peridot-Outcome";
constexpr std::string_view RequestIdFieldName = "X-Request-Id";

/// The final answer to a request that is not served. Its JSON form is the one that clients of language-model
/// services expect.
struct ApiError {
    std::uint16_t status = 500;
    /// The class of the error, for example `invalid_request_error`.
    std::string type;
    /// The exact reason, for example `no_capacity`.
    std::string code;
    std::string message;
    /// The field or header of the request that is invalid; empty if there is no such field.
    std::string param;
    Outcome outcome = Outcome::NotRun;
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// Returns the error for a request that cannot be parsed or has an invalid field.
ApiError invalidRequest(std::string message, std::string param = {});

/// Returns the caller's error for a refusal.
ApiError apiErrorFrom(const Refusal& refusal);

/// Returns `{"error":{"message","type","code","param","outcome"[,"retry_after_ms"]}}`.
std::string errorBody(const ApiError& error);

/// Returns the complete response with the outcome and, if a retry is worthwhile, Retry-After in seconds,
/// rounded up.
HttpResponse errorResponse(const ApiError& error, std::string_view requestId);

} // namespace peridotgrade
