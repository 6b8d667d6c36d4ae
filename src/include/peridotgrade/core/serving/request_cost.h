// The one estimate of what a generation will need.
#pragma once

#include "peridotgrade/core/serving/output_estimate.h"
#include "peridotgrade/core/serving/service_spec.h"

#include <cstdint>
#include <string>

namespace peridotgrade {

/// What the caller states of a generation.
struct StatedCost {
    std::string route;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /// 0 if the caller gives no estimate.
    std::uint32_t expectedOutputTokens = 0;
};

struct RequestCost {
    std::uint32_t promptTokens = 0;
    /// Expected, not the caller's limit.
    std::uint32_t outputTokens = 0;
    std::uint32_t events = 0;
    /// Memory to reserve, with a margin; at most that of one engine, so that every request finds a place.
    std::uint32_t reservedTokens = 0;

    static RequestCost estimate(
        const StatedCost& stated, const OutputEstimate& outputs, const EngineSpec& engine);
};

} // namespace peridotgrade
