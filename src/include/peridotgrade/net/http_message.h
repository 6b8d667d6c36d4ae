// HTTP requests and responses as plain values.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgrade {

struct HttpField {
    std::string name;
    std::string value;
};

/// A body that several requests or attempts share, so that it is held once however often it is sent.
using SharedBody = std::shared_ptr<const std::string>;

/// A request with its complete body.
struct HttpRequest {
    std::string method = "GET";
    /// Path and query.
    std::string target = "/";
    std::vector<HttpField> fields;
    std::string body;

    /// Value of the first field of that name (not case sensitive), or empty.
    std::string_view field(std::string_view name) const;
    /// The target without its query.
    std::string_view path() const;
    /// Value of a query parameter, percent-decoded, or empty.
    std::string query(std::string_view name) const;
};

/// A response with its complete body.
struct HttpResponse {
    std::uint16_t status = 200;
    std::string contentType = "application/json";
    std::vector<HttpField> fields;
    std::string body;

    std::string_view field(std::string_view name) const;
};

} // namespace peridotgrade
