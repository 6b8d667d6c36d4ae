// Errors of the network layer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgrade {

enum class NetErrorKind : std::uint8_t {
    /// The address or port could not be used for listening.
    CannotListen,
    /// No connection was established; nothing was sent.
    ConnectFailed,
    /// As ConnectFailed, because nothing listens at the address.
    ConnectRefused,
    /// The connection ended prematurely.
    Closed,
    TimedOut,
    /// A header, body or frame exceeds its limit.
    TooLarge,
    /// The body is within its limit, but the bodies that are held leave no memory for it.
    NoMemory,
    /// The received data is not HTTP, or not a valid frame.
    Malformed,
};

std::string_view nameOf(NetErrorKind kind);

/// A failure of a connection.
struct NetError {
    NetErrorKind kind = NetErrorKind::Closed;
    /// False only if the peer has certainly received nothing of the request.
    bool mayHaveArrived = true;
    std::string detail;
};

} // namespace peridotgrade
