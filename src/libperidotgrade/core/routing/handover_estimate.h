// Estimate of the time from the start of a decode with a handed-over KV cache to its first token.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <cstdint>

namespace peridotgrade {

/// Estimates the duration of a KV cache hand-over as a fixed part (messages, the next decode step) plus a
/// part proportional to the prompt tokens (the transfer). Both are fitted to completed hand-overs by least
/// squares with exponentially decaying weights.
class HandoverEstimate {
public:
    void record(std::uint32_t promptTokens, Duration duration);

    /// Zero until a hand-over has been recorded.
    Duration expected(std::uint32_t promptTokens) const;

private:
    // Weighted sums for the least-squares fit of seconds over prompt tokens.
    double weight = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
};

} // namespace peridotgrade
