// How the end of an HTTP body is marked.
#pragma once

#include <cstdint>
#include <string_view>

namespace peridotgrade {

enum class BodyFraming : std::uint8_t {
    /// The head gives the length, or excludes a body.
    Length,
    Chunked,
    /// The body ends with the connection. An orderly close looks the same whether the sender was done or not.
    ConnectionEnd,
};

/// `length`, `chunked` or `connection_end`.
std::string_view nameOf(BodyFraming framing);

} // namespace peridotgrade
