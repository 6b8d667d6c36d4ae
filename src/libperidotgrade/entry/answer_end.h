// How sending an answer ended.
#pragma once

#include "peridotgrade/core/base/outcome.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotgrade {

/// For the log line and the workspace's account.
struct AnswerEnd {
    /// Nothing if the caller went away before the end.
    std::optional<Outcome> outcome;
    std::string detail;
    std::uint32_t outputTokens = 0;
};

} // namespace peridotgrade
