// Sums of the parts of a request's cost.
#include "peridotgrade/core/serving/request_cost.h"

#include <algorithm>

namespace peridotgrade {

RequestCost RequestCost::estimate(
    const StatedCost& stated, const OutputEstimate& outputs, const EngineSpec& engine)
{
    std::uint32_t hint = stated.expectedOutputTokens;
    RequestCost cost;
    cost.promptTokens = stated.promptTokens;
    cost.outputTokens = outputs.expectedTokens(stated.route, hint, stated.maxOutputTokens);
    std::uint64_t perEvent = std::max(engine.tokensPerEvent, 1U);
    cost.events = static_cast<std::uint32_t>((cost.outputTokens + perEvent - 1) / perEvent);
    std::uint64_t reserved = std::uint64_t { stated.promptTokens }
        + outputs.tokensToReserve(stated.route, hint, stated.maxOutputTokens);
    cost.reservedTokens
        = static_cast<std::uint32_t>(std::min<std::uint64_t>(reserved, engine.kvCapacityTokens));
    return cost;
}

} // namespace peridotgrade
