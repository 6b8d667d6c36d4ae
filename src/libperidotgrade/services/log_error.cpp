// Conversion of network errors and HTTP responses to log errors.
#include "peridotgrade/services/log_error.h"

#include "peridotgrade/core/base/name_table.h"

#include <boost/json/parse.hpp>

namespace peridotgrade {

namespace {

    constexpr auto KindNames = std::to_array<std::string_view>({ "refused", "unknown", "gone", "malformed" });

    constexpr std::uint16_t StatusGone = 410;

    LogOffset offsetIn(const boost::json::object& object, std::string_view key)
    {
        const boost::json::value* value = object.if_contains(key);
        if (value == nullptr || !value->is_number())
            return {};
        boost::system::error_code error;
        return LogOffset { value->to_number<std::uint64_t>(error) };
    }

} // namespace

std::string_view nameOf(LogErrorKind kind) { return nameAt(KindNames, kind); }

LogError logErrorFrom(const NetError& error)
{
    LogError result;
    result.kind = error.mayHaveArrived ? LogErrorKind::Unknown : LogErrorKind::Refused;
    result.detail = std::string { nameOf(error.kind) } + ": " + error.detail;
    return result;
}

LogError logErrorFrom(const HttpResponse& response)
{
    LogError result;
    result.detail = "status " + std::to_string(response.status);
    if (response.status == 429 || response.status == 503) {
        result.kind = LogErrorKind::Refused;
        return result;
    }
    if (response.status != StatusGone) {
        result.kind = LogErrorKind::Malformed;
        return result;
    }
    boost::system::error_code error;
    boost::json::value body = boost::json::parse(response.body, error);
    if (error || !body.is_object()) {
        result.kind = LogErrorKind::Malformed;
        return result;
    }
    result.kind = LogErrorKind::Gone;
    result.oldest = offsetIn(body.as_object(), "oldest");
    result.next = offsetIn(body.as_object(), "next");
    return result;
}

} // namespace peridotgrade
