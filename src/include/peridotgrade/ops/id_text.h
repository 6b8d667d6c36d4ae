// Text form of ids, the same in logs, answers and time lines.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// Sixteen hexadecimal digits.
std::string textOf(RequestId request);

/// The inverse; nothing if `text` is no request id.
std::optional<RequestId> requestIdFrom(std::string_view text);

} // namespace peridotgrade
