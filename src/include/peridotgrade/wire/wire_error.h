// Errors of the codec.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgrade {

enum class WireErrorKind : std::uint8_t {
    /// Not a peridotgrade frame, or truncated.
    Malformed,
    /// The frame, a string or a list exceeds its limit.
    TooLarge,
    /// A message or enumerator that this version does not define.
    Unknown,
};

std::string_view nameOf(WireErrorKind kind);

/// Why a frame could not be decoded.
struct WireError {
    WireErrorKind kind = WireErrorKind::Malformed;
    std::string detail;
};

} // namespace peridotgrade
