// Forecast of whether a request can get memory in time, from the recent rate of grants.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/forecast_certainty.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace peridotgrade {

/// Tracks the tokens granted over a sliding window. In an overload of a few seconds that is the rate at which
/// the queue moves, so a request that cannot be reached by its due time is rejected on arrival instead of
/// after a useless wait. Not thread safe.
class QueueForecast {
public:
    /// Long enough for some dozen grants at an entry, short compared with a rise of load.
    static constexpr std::chrono::milliseconds Window { 1500 };
    /// A request is rejected only if the queue would have to move more than this many times faster: the rate
    /// over one window is uncertain, and memory left unused after a needless rejection helps nobody.
    static constexpr double RateTolerance = 1.6;
    /// The same for a high certainty, which also needs a grant. With the usual one, 0.5 % of the callers got
    /// no answer at a load at which all are served if they wait (docs/design/bursts.md).
    static constexpr double HighCertaintyTolerance = 4;

    /// The rate is unknown until requests have been waiting for this long.
    static constexpr std::chrono::milliseconds MinSampleTime { 500 };

    void noteGrant(TimePoint now, std::uint32_t tokens);
    /// No request is waiting, so the grants show the demand and not the capacity of the engines.
    void noteIdle();
    /// At least one request is waiting.
    void noteBusy(TimePoint now);
    /// Tokens granted per second; nothing while it is unknown.
    std::optional<double> tokensPerSecond(TimePoint now);
    /// Returns true if `tokensAhead` may be granted within `wait`.
    bool canServe(TimePoint now, std::uint64_t tokensAhead, Duration wait,
        ForecastCertainty certainty = ForecastCertainty::Usual);

private:
    struct Grant {
        TimePoint at;
        std::uint32_t tokens;
    };
    void removeExpired(TimePoint now);

    /// Start of the current period in which there has always been a waiting request.
    std::optional<TimePoint> busySince;
    std::deque<Grant> grants;
    /// Invariant: the sum of the tokens in `grants`.
    std::uint64_t granted = 0;
};

} // namespace peridotgrade
