// The timer service: one-shot subscriptions to points in time, on a clock that its owner advances.
#pragma once

#include "peridotgrade/core/base/strong_id.h"
#include "peridotgrade/core/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace peridotgrade {

/// Handle of one subscription to a TimerService.
using TimerId = StrongId<struct TimerIdTag, std::uint64_t>;

/// Calls subscribers when they are due. It reads no clock: the owner calls `advance` with the current time
/// and sleeps until `nextDue`. Subscribers due at the same time are called in the order in which they
/// subscribed, so that a run is reproducible. Not thread safe: each state shard has its own, used under the
/// shard's lock.
class TimerService {
public:
    using Callback = std::function<void()>;

    explicit TimerService(TimePoint start = TimePoint {});

    /// The time of the last `advance`; during a callback, the due time of its subscription.
    TimePoint now() const { return this->current; }

    /// Calls `callback` once, when `due` is reached; in the next `advance` if it has already passed.
    TimerId subscribeAt(TimePoint due, Callback callback);
    TimerId subscribeAfter(Duration delay, Callback callback);

    /// Cancels a subscription; one that is unknown or has already been called is ignored.
    void cancel(TimerId id);

    /// Calls all subscribers due up to `now`, in order of due time. Time never goes back, even if `now` is
    /// earlier than in the last call.
    void advance(TimePoint now);

    /// When the next subscriber is due; empty if there is none.
    std::optional<TimePoint> nextDue() const;

private:
    struct Subscription {
        TimerId id;
        Callback callback;
    };
    using Queue = std::multimap<TimePoint, Subscription>;

    TimePoint current;
    std::uint64_t lastId = 0;
    /// Invariant: holds exactly the subscriptions that `byId` points into.
    Queue queue;
    std::unordered_map<TimerId, Queue::iterator> byId;
};

} // namespace peridotgrade
