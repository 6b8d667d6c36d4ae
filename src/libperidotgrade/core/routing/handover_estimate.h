// The time from the end of a prefill to the first token, learned from finished hand-overs.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <cstdint>

namespace peridotgrade {

/// Estimates the hand-over of a prompt's KV cache: a fixed part (messages, the next decode step) and a part
/// for each prompt token (the transfer). Both are fitted to what was seen, with old hand-overs forgotten
/// exponentially.
class HandoverEstimate {
public:
    void record(std::uint32_t promptTokens, Duration took);

    /// Zero until something was seen.
    Duration expected(std::uint32_t promptTokens) const;

private:
    // Weighted sums of least squares over (prompt tokens, seconds).
    double weight = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
};

} // namespace peridotgrade
