// The timer service: parts subscribe to points in time, whoever owns the clock advances it.
#pragma once

#include "peridotgrade/core/base/strong_id.h"
#include "peridotgrade/core/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace peridotgrade {

/// Handle of one subscription at a TimerService.
using TimerId = StrongId<struct TimerIdTag, std::uint64_t>;

/// Calls subscribers when their time has come. It reads no clock: the owner calls `advance` with the current
/// time and sleeps until `nextDue`. Subscribers due at the same time run in the order of their subscription,
/// so that a run is repeatable. Not thread safe: each state shard has its own, used under the shard's lock.
class TimerService {
public:
    using Callback = std::function<void()>;

    explicit TimerService(TimePoint start = TimePoint {});

    /// The time of the last `advance`, or of the subscription that is being served.
    TimePoint now() const { return this->current; }

    /// Calls `callback` once, when `due` is reached; in the next `advance` if it is already past.
    TimerId subscribeAt(TimePoint due, Callback callback);
    TimerId subscribeAfter(Duration delay, Callback callback);

    /// Drops a subscription; one that is unknown or already served is left alone.
    void cancel(TimerId id);

    /// Serves all that is due up to `now`, in order of time. Time never goes back: an earlier `now` is
    /// ignored.
    void advance(TimePoint now);

    /// When the next subscriber is due; nothing if there is none.
    std::optional<TimePoint> nextDue() const;

private:
    struct Entry {
        TimerId id;
        Callback callback;
    };
    using Queue = std::multimap<TimePoint, Entry>;

    TimePoint current;
    std::uint64_t lastId = 0;
    /// Invariant: holds exactly the subscriptions that `byId` points into.
    Queue queue;
    std::unordered_map<TimerId, Queue::iterator> byId;
};

} // namespace peridotgrade
