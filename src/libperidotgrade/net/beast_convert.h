// Conversions between Beast's types and the plain HTTP types.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/http_message.h"
#include "peridotgrade/net/net_error.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace peridotgrade {

/// Converts an error of Asio or Beast.
NetError netErrorFrom(const boost::system::error_code& error, bool mayHaveArrived);

/// True for the status of a final response. Others are interim, or none of HTTP, and no answer to a request.
bool isFinalStatus(unsigned status);

std::vector<HttpField> fieldsFrom(const boost::beast::http::fields& fields);

/// Sets status, content type, the given fields and `Connection`.
void fillHead(boost::beast::http::response_header<>& head, const HttpResponse& response);

/// The request as it is sent to `server`. The Host field names the server unless the request has its own.
/// Sets method, target and fields; the body is left as it is.
void fillRequestHead(
    boost::beast::http::request_header<>& head, const HttpRequest& request, const Endpoint& server);

boost::beast::http::request<boost::beast::http::string_body> beastRequest(
    HttpRequest request, const Endpoint& server);

} // namespace peridotgrade
