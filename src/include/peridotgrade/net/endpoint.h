// An address of a process.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// An IP address and a TCP port. Names are not resolved: processes talk by IP numbers.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// Reads `ip:port` or `[ip6]:port`; nothing if it is neither.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// The inverse of `parseEndpoint`.
std::string toString(const Endpoint& endpoint);

} // namespace peridotgrade
