// Conversions between Beast's types and the plain HTTP types.
#include "beast_convert.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace peridotgrade {

namespace http = boost::beast::http;

namespace {

    NetErrorKind kindOf(const boost::system::error_code& error)
    {
        if (error == boost::beast::error::timeout)
            return NetErrorKind::TimedOut;
        if (error == http::error::header_limit || error == http::error::body_limit
            || error == http::error::buffer_overflow)
            return NetErrorKind::TooLarge;
        if (error == http::error::end_of_stream || error == http::error::partial_message)
            return NetErrorKind::Closed;
        if (error.category() == make_error_code(http::error::end_of_stream).category())
            return NetErrorKind::Malformed;
        return NetErrorKind::Closed;
    }

} // namespace

NetError netErrorFrom(const boost::system::error_code& error, bool mayHaveArrived)
{
    return NetError { kindOf(error), mayHaveArrived, error.message() };
}

bool isFinalStatus(unsigned status) { return status >= 200 && status <= 599; }

std::vector<HttpField> fieldsFrom(const http::fields& fields)
{
    std::vector<HttpField> result;
    for (const auto& field : fields)
        result.push_back({ std::string { field.name_string() }, std::string { field.value() } });
    return result;
}

void fillHead(http::response_header<>& head, const HttpResponse& response)
{
    head.version(11);
    head.result(response.status);
    if (!response.contentType.empty())
        head.set(http::field::content_type, response.contentType);
    for (const HttpField& field : response.fields)
        head.insert(field.name, field.value);
}

void fillRequestHead(http::request_header<>& head, const HttpRequest& request, const Endpoint& server)
{
    head.version(11);
    head.method_string(request.method);
    head.target(request.target);
    if (request.field("Host").empty())
        head.set(http::field::host, toString(server));
    for (const HttpField& field : request.fields)
        head.insert(field.name, field.value);
}

http::request<http::string_body> beastRequest(HttpRequest request, const Endpoint& server)
{
    http::request<http::string_body> message;
    fillRequestHead(message, request, server);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

} // namespace peridotgrade
