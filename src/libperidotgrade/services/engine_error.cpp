// Conversion of network errors and HTTP responses to engine errors, and of these to attempt failures.
#include "peridotgrade/services/engine_error.h"

#include "peridotgrade/core/base/name_table.h"

#include <boost/json/parse.hpp>

#include <array>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    constexpr auto Names = std::to_array<std::string_view>(
        { "no_answer", "refused", "kv_gone", "transfer_stalled", "malformed" });

    std::string errorType(const HttpResponse& response)
    {
        json::error_code error;
        json::value body = json::parse(response.body, error);
        if (error || !body.is_object())
            return {};
        const json::value* inner = body.as_object().if_contains("error");
        if (!inner || !inner->is_object())
            return {};
        const json::value* type = inner->as_object().if_contains("type");
        return type && type->is_string() ? std::string { type->as_string() } : std::string {};
    }

} // namespace

std::string_view nameOf(EngineErrorKind kind) { return nameAt(Names, kind); }

EngineError engineErrorFrom(const NetError& error)
{
    bool isAnswer = error.kind == NetErrorKind::Malformed || error.kind == NetErrorKind::TooLarge;
    auto kind = isAnswer ? EngineErrorKind::Malformed : EngineErrorKind::NoAnswer;
    return EngineError { kind, error.detail };
}

EngineError engineErrorFrom(const HttpResponse& response)
{
    std::string type = errorType(response);
    if (type == "kv_gone")
        return EngineError { EngineErrorKind::KvGone, type };
    if (type == "transfer_stalled")
        return EngineError { EngineErrorKind::TransferStalled, type };
    return EngineError { EngineErrorKind::Refused, std::to_string(response.status) + " " + type };
}

AttemptFailure attemptFailureFrom(const EngineError& error)
{
    if (error.kind == EngineErrorKind::KvGone)
        return AttemptFailure::KvGone;
    if (error.kind == EngineErrorKind::TransferStalled)
        return AttemptFailure::TransferStalled;
    return AttemptFailure::EngineError;
}

} // namespace peridotgrade
