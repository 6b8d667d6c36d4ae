// Prefix cache events as the engine publishes them: with a delay and with gaps.
#pragma once

#include "prefix_cache.h"

#include "../common/now.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <random>

namespace peridotgrade::standins {

/// Keeps the most recent events. Some are dropped deliberately, which leaves a gap in the sequence numbers.
/// Not thread safe.
class CacheEventLog {
public:
    explicit CacheEventLog(std::uint64_t seed)
        : random(seed)
    {
    }

    void record(CacheChange change, std::chrono::milliseconds delay, double loss);
    bool hasEvents(std::uint64_t from) const;
    /// Body of the response to `GET /v1/cache-events`.
    boost::json::object page(std::uint64_t from) const;

private:
    struct Event {
        std::uint64_t sequence = 0;
        StandinClock::time_point visibleAt;
        CacheChange change;
    };

    std::mt19937_64 random;
    std::uint64_t lastSequence = 0;
    /// Invariant: ordered by sequence number and by time.
    std::deque<Event> events;
};

} // namespace peridotgrade::standins
