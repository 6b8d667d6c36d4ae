// Errors of the network layer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgrade {

enum class NetErrorKind : std::uint8_t {
    /// An address or port could not be used for listening.
    CannotListen,
    /// No connection came about; nothing was sent.
    ConnectFailed,
    /// The same, since nothing listens at the address.
    ConnectRefused,
    /// The connection ended early.
    Closed,
    TimedOut,
    /// A header, body or frame is over its limit.
    TooLarge,
    /// What came is not HTTP, or not a frame of ours.
    Malformed,
};

std::string_view nameOf(NetErrorKind kind);

/// What went wrong on a connection.
struct NetError {
    NetErrorKind kind = NetErrorKind::Closed;
    /// False only if it is certain that the peer got nothing of the request.
    bool mayHaveArrived = true;
    std::string detail;
};

} // namespace peridotgrade
