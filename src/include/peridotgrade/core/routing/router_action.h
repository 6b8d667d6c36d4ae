// Actions that a model router requests from its owner.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/messages.h"
#include "peridotgrade/core/messages/refuse_request.h"
#include "peridotgrade/core/messages/send_to_agent.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// Forwards these tokens to the caller, in order; each index is delivered exactly once.
struct DeliverTokens {
    RequestId request;
    std::uint32_t firstIndex = 0;
    std::vector<std::string> pieces;
};

/// The answer is complete, and the router drops the request.
struct FinishAnswer {
    RequestId request;
    FinishReason finishReason = FinishReason::Stop;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

/// Two backend servers crashed on this fingerprint; the quarantine is to be published to all other entries.
struct PublishQuarantine {
    Fingerprint fingerprint;
};

using RouterAction = std::variant<SendToAgent, DeliverTokens, FinishAnswer, RefuseRequest, PublishQuarantine>;

} // namespace peridotgrade
