// Parsing of path, headers and idempotency key of application calls.
#include "peridotgrade/callers/call_path.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace peridotgrade {

namespace {

    constexpr auto FieldsNotForwarded = std::to_array<std::string_view>({ "host", "connection", "keep-alive",
        "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "content-type",
        "authorization", "idempotency-key", "expect", "x-request-timeout-ms" });

    constexpr std::size_t UuidLength = 36;
    constexpr std::array<std::size_t, 4> UuidDashes { 8, 13, 18, 23 };
    constexpr std::size_t UuidVersionIndex = 14;
    constexpr std::size_t UuidVariantIndex = 19;

    bool isForwarded(const HttpField& field)
    {
        return std::none_of(FieldsNotForwarded.begin(), FieldsNotForwarded.end(),
            [&field](std::string_view name) { return boost::algorithm::iequals(field.name, name); });
    }

    bool isRead(const std::string& method) { return method == "GET" || method == "HEAD"; }

    ApplicationCall callFrom(const HttpRequest& request, std::string_view target)
    {
        ApplicationCall call;
        call.method = request.method;
        call.target = std::string { target };
        call.contentType = std::string { request.field("Content-Type") };
        for (const HttpField& field : request.fields) {
            if (isForwarded(field))
                call.headers.push_back(HeaderField { field.name, field.value });
        }
        call.body = request.body;
        return call;
    }

} // namespace

bool isTimeOrderedUuid(std::string_view text)
{
    if (text.size() != UuidLength)
        return false;
    for (std::size_t index = 0; index < UuidLength; ++index) {
        bool isDash = std::find(UuidDashes.begin(), UuidDashes.end(), index) != UuidDashes.end();
        bool isHex = std::isxdigit(static_cast<unsigned char>(text[index])) != 0;
        if (isDash ? text[index] != '-' : !isHex)
            return false;
    }
    return text[UuidVersionIndex] == '7'
        && std::string_view { "89abAB" }.find(text[UuidVariantIndex]) != std::string_view::npos;
}

std::variant<CallPath, ApiError> parseCall(const HttpRequest& request)
{
    std::string_view rest = request.target;
    rest.remove_prefix(std::min(rest.size(), CallPrefix.size()));
    std::size_t serviceEnd = std::min(rest.find_first_of("/?"), rest.size());
    if (serviceEnd == 0)
        return invalidRequest("the path must name a service: /apps/<service>/<path>");
    std::string target { rest.substr(serviceEnd) };
    if (!target.starts_with('/'))
        target.insert(target.begin(), '/');

    CallPath result;
    result.service = ServiceId { std::string { rest.substr(0, serviceEnd) } };
    result.call = callFrom(request, target);
    if (isRead(request.method))
        return result;
    std::string key { request.field("Idempotency-Key") };
    if (!isTimeOrderedUuid(key))
        return invalidRequest(
            "an action needs the field Idempotency-Key with a UUID of version 7", "Idempotency-Key");
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
    result.key = IdempotencyKey { std::move(key) };
    return result;
}

} // namespace peridotgrade
