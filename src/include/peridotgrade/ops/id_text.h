// Text form of ids, the same in logs, responses and timelines.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// Sixteen hexadecimal digits.
std::string textOf(RequestId request);

/// The inverse; empty if `text` is not a request id.
std::optional<RequestId> requestIdFrom(std::string_view text);

} // namespace peridotgrade
