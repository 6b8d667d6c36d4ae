// How far a request has been written while its response is read.
#pragma once

#include <cstdint>
#include <string_view>

namespace peridotgrade {

enum class RequestWriteState : std::uint8_t {
    InProgress,
    Written,
    /// The connection was reset, or closed here, before the whole request was written.
    Failed,
};

/// `in_progress`, `written` or `failed`.
std::string_view nameOf(RequestWriteState state);

} // namespace peridotgrade
