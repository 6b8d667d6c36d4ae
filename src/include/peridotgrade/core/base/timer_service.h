// The timer service: one-shot timers on a clock that its owner advances.
#pragma once

#include "peridotgrade/core/base/strong_id.h"
#include "peridotgrade/core/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace peridotgrade {

/// Handle of one timer of a TimerService.
using TimerId = StrongId<struct TimerIdTag, std::uint64_t>;

/// Runs callbacks when they are due. It reads no clock: the owner calls `advance` with the current time and
/// sleeps until `nextDue`. Timers due at the same time fire in the order in which they were scheduled, so
/// that a run is reproducible. Not thread safe: each state shard has its own, used under the shard's lock.
class TimerService {
public:
    using Callback = std::function<void()>;

    explicit TimerService(TimePoint start = TimePoint {});

    /// The time of the last `advance`; during a callback, the due time of its timer.
    TimePoint now() const { return this->current; }

    /// Calls `callback` once, when `due` is reached; in the next `advance` if it has already passed.
    TimerId scheduleAt(TimePoint due, Callback callback);
    TimerId scheduleAfter(Duration delay, Callback callback);

    /// Cancels a timer; an unknown timer or one that has already fired is ignored.
    void cancel(TimerId id);

    /// Fires all timers due up to `now`, in order of due time. Time never goes back, even if `now` is earlier
    /// than in the last call.
    void advance(TimePoint now);

    /// When the next timer is due; empty if there is none.
    std::optional<TimePoint> nextDue() const;

private:
    struct Timer {
        TimerId id;
        Callback callback;
    };
    using Queue = std::multimap<TimePoint, Timer>;

    TimePoint current;
    std::uint64_t lastId = 0;
    /// Invariant: holds exactly the timers that `byId` points into.
    Queue queue;
    std::unordered_map<TimerId, Queue::iterator> byId;
};

} // namespace peridotgrade
