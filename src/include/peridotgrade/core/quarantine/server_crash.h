// Identity of one crash of one server.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace peridotgrade {

/// The end of one incarnation of a server. However many requests and processes it hits, it is one crash.
struct ServerCrash {
    std::string server;
    std::uint64_t incarnation = 0;

    // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const ServerCrash&, const ServerCrash&) = default;
};

} // namespace peridotgrade
