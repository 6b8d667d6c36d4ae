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
    /// Reason for the log: the code of the refusal, or `caller_gone`. Empty if all was sent.
    std::string detail;
    std::uint32_t outputTokens = 0;
};

} // namespace peridotgrade
