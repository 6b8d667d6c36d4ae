// Network address of a process.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// An IP address and a TCP port. Host names are not resolved: processes address each other by IP address.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// Parses `ip:port` or `[ip6]:port`; empty if the text is neither.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// The inverse of `parseEndpoint`.
std::string toString(const Endpoint& endpoint);

} // namespace peridotgrade
