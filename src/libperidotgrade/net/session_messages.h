// What a session of the HTTP server checks in a request, and says by itself.
#pragma once

#include "peridotgrade/net/http_message.h"
#include "peridotgrade/net/net_error.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <string>

namespace peridotgrade {

/// The status for a request that could not be read; `kind` is that of `error`.
std::uint16_t statusFor(const boost::system::error_code& error, NetErrorKind kind);

/// False for a body whose end this server and the one behind it could see at different places (request
/// smuggling): Beast treats a request with an unknown transfer coding as one without a body.
bool hasUnambiguousFraming(const boost::beast::http::request<boost::beast::http::string_body>& request);

/// A target in absolute form, as a client sends it to a proxy, becomes its path and query, and its host goes
/// before that of the Host field (RFC 9112, 3.2.2).
HttpRequest requestFrom(boost::beast::http::request<boost::beast::http::string_body> message);

HttpResponse errorResponse(std::uint16_t status, const std::string& detail);

} // namespace peridotgrade
