// Parsing and serialization of JSON bodies.
#include "json_body.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace peridotgrade::standins {

namespace json = boost::json;

std::optional<json::object> objectFrom(const HttpRequest& request)
{
    json::error_code error;
    json::value value = json::parse(request.body, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.as_object());
}

std::uint64_t numberOf(const json::object& object, std::string_view key, std::uint64_t defaultValue)
{
    const json::value* value = object.if_contains(key);
    if (!value)
        return defaultValue;
    json::error_code error;
    auto number = value->to_number<std::uint64_t>(error);
    return error ? defaultValue : number;
}

std::string stringOf(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    if (!value || !value->is_string())
        return {};
    return std::string { value->as_string() };
}

std::uint64_t queryNumber(const HttpRequest& request, std::string_view name, std::uint64_t defaultValue)
{
    std::string text = request.query(name);
    std::uint64_t number = 0;
    auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc {} ? number : defaultValue;
}

HttpResponse jsonResponse(std::uint16_t status, const json::object& body)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

HttpResponse errorResponse(std::uint16_t status, std::string_view type, std::string_view message)
{
    json::object error;
    error["type"] = type;
    error["message"] = message;
    json::object body;
    body["error"] = std::move(error);
    return jsonResponse(status, body);
}

} // namespace peridotgrade::standins
