// A caller's completion request, as admitted by an entry.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/messages/reservation_messages.h"

#include <cstdint>
#include <string>

namespace peridotgrade {

/// A completion request. Token counts use `promptTokens`; the prompt text is only passed on.
struct ModelRequest {
    RequestId id;
    WorkspaceId workspace;
    ModelId model;
    std::string prompt;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    Priority priority = Priority::Normal;
    /// Time by which the first token has to be delivered to meet the target.
    TimePoint firstTokenDue;
    /// The request fails at this time, whatever its state. Never extended.
    TimePoint deadline;
};

} // namespace peridotgrade
