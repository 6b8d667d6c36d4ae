// Recent demand and service of each priority at one entry.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/request_priority.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace peridotgrade {

/// Counts the requests of each priority that arrived, were served and were not served, with weights that
/// decay with age. Every entry sees a random part of the requests of each priority, so the shares that it
/// measures are those of all entries, and what it guarantees to a priority holds for the sum. Not thread
/// safe.
class PriorityShares {
public:
    /// Age at which an arrival counts 1/e in the demand: about the length of a burst.
    static constexpr std::chrono::milliseconds DemandTime { 4000 };
    /// The same for ends in the share that is served. Longer, since an entry may see one request of a rare
    /// priority in some seconds.
    static constexpr std::chrono::milliseconds ShareTime { 20'000 };
    /// A priority that is served less than this many times as often as all requests goes first until it no
    /// longer is. At a quarter a priority counts as starved; the margin covers the delay of the measurement.
    static constexpr double GuaranteedShare = 0.4;
    /// A priority with less than this weight is not present any longer: its last request is 12 s old.
    static constexpr double MinWeight = 0.05;

    void noteArrival(RequestPriority priority, std::uint32_t tokens, TimePoint now);
    /// A request of that priority was served, or was rejected or left without being served.
    void noteEnd(RequestPriority priority, bool isServed, TimePoint now);

    /// Number of priorities present that are more urgent.
    std::uint32_t rankOf(RequestPriority priority, TimePoint now) const;
    /// Share of its requests that were served, 0 to 1; 1 without evidence.
    double servedShare(RequestPriority priority, TimePoint now) const;
    bool isStarved(RequestPriority priority, TimePoint now) const;
    /// The same of all requests.
    double servedShareOfAll() const;
    /// Mean size of recent requests; 0 before the first.
    double meanTokens() const;
    /// Tokens per second of the requests that are more urgent.
    double urgentTokensPerSecond(RequestPriority priority, TimePoint now) const;

private:
    struct Level {
        double arrived = 0;
        double arrivedTokens = 0;
        double served = 0;
        double ended = 0;
    };
    /// Factor of all weights since `updatedAt`.
    double decay(TimePoint now, Duration time) const;
    Level& update(RequestPriority priority, TimePoint now);

    /// Bounded by the number of pairs of priorities, which is a hundred.
    std::map<RequestPriority, Level> levels;
    /// Time of all weights, so that shares are compared without a decay.
    TimePoint updatedAt {};
};

} // namespace peridotgrade
