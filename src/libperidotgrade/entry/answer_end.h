// Result of sending an answer to its caller.
#pragma once

#include "peridotgrade/core/base/outcome.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotgrade {

/// Used for the log line, the admission ticket and the refund of unused tokens.
struct AnswerEnd {
    /// Empty if the caller disconnected before the end.
    std::optional<Outcome> outcome;
    std::string detail;
    std::uint32_t outputTokens = 0;
};

} // namespace peridotgrade
