// A caller's request for a language model, as admitted by an entry.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/messages/reservation_messages.h"

#include <cstdint>
#include <string>

namespace peridotgrade {

/// A completion request. The core counts tokens by `promptTokens`; the text itself is only passed on.
struct ModelRequest {
    RequestId id;
    WorkspaceId workspace;
    ModelId model;
    std::string prompt;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    Priority priority = Priority::Normal;
    /// When the first token has to be out for the answer to count.
    TimePoint firstTokenDue;
    /// After this the request is given up, whatever state it is in. Never extended.
    TimePoint deadline;
};

} // namespace peridotgrade
