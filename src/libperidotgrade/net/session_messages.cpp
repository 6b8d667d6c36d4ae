// Checks of requests, and error responses.
#include "session_messages.h"

#include "beast_convert.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <optional>

namespace peridotgrade {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    /// Turns a target in absolute form into its path and query. Returns the host; nothing if it is a path
    /// already.
    std::optional<std::string> takeAuthority(std::string& target)
    {
        constexpr std::string_view Scheme = "http://";
        if (!beast::iequals(std::string_view { target }.substr(0, Scheme.size()), Scheme))
            return std::nullopt;
        std::size_t end = std::min(target.find_first_of("/?", Scheme.size()), target.size());
        std::string host = target.substr(Scheme.size(), end - Scheme.size());
        target.erase(0, end);
        if (!target.starts_with('/'))
            target.insert(0, "/");
        return host;
    }

} // namespace

std::uint16_t statusFor(const boost::system::error_code& error, NetErrorKind kind)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return 431;
    switch (kind) {
    case NetErrorKind::TimedOut:
        return 408;
    case NetErrorKind::TooLarge:
        return 413;
    default:
        return 400;
    }
}

bool hasUnambiguousFraming(const http::request<http::string_body>& request)
{
    auto coding = request.find(http::field::transfer_encoding);
    return coding == request.end() || beast::iequals(coding->value(), "chunked");
}

HttpRequest requestFrom(http::request<http::string_body> message)
{
    HttpRequest request;
    request.method = std::string { message.method_string() };
    request.target = std::string { message.target() };
    if (auto host = takeAuthority(request.target))
        message.set(http::field::host, *host);
    request.fields = fieldsFrom(message);
    request.body = std::move(message.body());
    return request;
}

HttpResponse errorResponse(std::uint16_t status, const std::string& detail)
{
    HttpResponse response;
    response.status = status;
    response.body = R"({"error":{"type":"invalid_request_error","message":")" + detail + R"("}})";
    return response;
}

} // namespace peridotgrade
