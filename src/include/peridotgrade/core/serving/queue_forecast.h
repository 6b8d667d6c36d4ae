// Whether a request can still get memory in time, from how fast places were granted lately.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace peridotgrade {

/// Watches the tokens of the places that were granted over the last moments. In an overload of a few seconds
/// that is the rate at which the line moves, so a request that would be overtaken by its due time is rejected
/// when it arrives, instead of after a wait for nothing. Not thread safe.
class QueueForecast {
public:
    /// Long enough for some dozen grants at an entry, short against a rise of load.
    static constexpr std::chrono::milliseconds Window { 1500 };
    /// A request is rejected only if the line would have to move this many times faster: the rate of a window
    /// is uncertain, and a place that turns up unused helps nobody.
    static constexpr double RateTolerance = 1.6;

    /// Below this time of a waiting line its rate is not known.
    static constexpr std::chrono::milliseconds MinSampleTime { 500 };

    void noteGrant(TimePoint now, std::uint32_t tokens);
    /// Nobody waits: what was granted shows the demand, not what the engines can give.
    void noteIdle();
    /// Somebody waits.
    void noteBusy(TimePoint now);
    /// True if `tokensAhead` may be granted within `wait`.
    bool canServe(TimePoint now, std::uint64_t tokensAhead, Duration wait);

private:
    struct Grant {
        TimePoint at;
        std::uint32_t tokens;
    };
    void removeExpired(TimePoint now);

    /// Since when there has always been somebody waiting.
    std::optional<TimePoint> busySince;
    std::deque<Grant> grants;
    /// Invariant: the sum over `grants`.
    std::uint64_t granted = 0;
};

} // namespace peridotgrade
