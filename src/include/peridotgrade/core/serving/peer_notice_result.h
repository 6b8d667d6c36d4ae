// What becomes of a notice that is to be sent or was received.
#pragma once

#include <cstdint>
#include <string_view>

namespace peridotgrade {

enum class PeerNoticeResult : std::uint8_t {
    /// To be sent, or takes effect.
    Effective,
    /// The same notice is in effect already.
    Known,
    /// The server is unknown, or known with another start.
    UnknownServer,
    /// A number is out of range.
    Invalid,
    /// More notices than may be sent.
    Limited,
};

/// `effective`, `known`, `unknown_server`, `invalid` or `limited`.
std::string_view nameOf(PeerNoticeResult result);

} // namespace peridotgrade
