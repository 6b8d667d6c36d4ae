// Errors as callers see them.
#pragma once

#include "peridotgrade/core/base/outcome.h"
#include "peridotgrade/net/http_message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// Response field that tells what became of a request: `answered`, `not-run` or `unknown`.
constexpr std::string_view OutcomeFieldName = "X-Peridot-Outcome";
constexpr std::string_view RequestIdFieldName = "X-Request-Id";

/// The final answer to a request that is not served, in the JSON form that clients of language models expect.
struct ApiError {
    std::uint16_t status = 500;
    /// The class of the error, for example `invalid_request_error`.
    std::string type;
    /// The exact reason, for example `no_capacity`.
    std::string code;
    std::string message;
    /// The request's field that is at fault; empty if none is.
    std::string param;
    Outcome outcome = Outcome::NotRun;
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// The error of a request that cannot be understood.
ApiError invalidRequest(std::string message, std::string param = {});

/// The callers' error for a refusal of the routers.
ApiError apiErrorFrom(const Refusal& refusal);

/// `{"error":{"message","type","code","param","outcome"[,"retry_after_ms"]}}`
std::string errorBody(const ApiError& error);

/// A whole response, with the outcome and, where coming back is worth it, Retry-After in seconds rounded up.
HttpResponse errorResponse(const ApiError& error, std::string_view requestId);

} // namespace peridotgrade
