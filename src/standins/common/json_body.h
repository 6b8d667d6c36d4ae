// Helpers for the JSON bodies of the fake servers' HTTP interfaces.
#pragma once

#include "peridotgrade/net/http_server.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade::standins {

/// The request's body as a JSON object; nullopt if it is not one.
std::optional<boost::json::object> objectFrom(const HttpRequest& request);

std::uint64_t numberOf(
    const boost::json::object& object, std::string_view key, std::uint64_t defaultValue = 0);
std::string stringOf(const boost::json::object& object, std::string_view key);

/// The number in a query parameter; `defaultValue` if it is missing or not a number.
std::uint64_t queryNumber(const HttpRequest& request, std::string_view name, std::uint64_t defaultValue);

HttpResponse jsonResponse(std::uint16_t status, const boost::json::object& body);
/// `{"error":{"type":…,"message":…}}`
HttpResponse errorResponse(std::uint16_t status, std::string_view type, std::string_view message);

} // namespace peridotgrade::standins
