// A rejection of a request that cannot be served in time, with the values that led to it.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/request_priority.h"

#include <cstdint>
#include <string_view>

namespace peridotgrade {

/// Why a request does not wait any longer.
enum class EarlyRejectionReason : std::uint8_t {
    /// What is served before the request takes longer than it can wait.
    Forecast,
    /// Its answer would be late, and a request that is as urgent waits.
    Late,
};

/// `forecast` or `late`.
std::string_view nameOf(EarlyRejectionReason reason);

struct EarlyRejection {
    RequestId request;
    EarlyRejectionReason reason = EarlyRejectionReason::Forecast;
    RequestPriority priority;
    /// Tokens that are served before the request, with those of more urgent requests that are expected.
    std::uint64_t tokensAhead = 0;
    /// Until it is due.
    Duration timeLeft {};
    /// Tokens that this entry is granted per second; 0 while that is not known.
    double tokensPerSecond = 0;
    /// Share of the requests of its priority that were served recently.
    double servedShare = 1;
};

} // namespace peridotgrade
