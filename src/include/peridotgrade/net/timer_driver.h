// Drives the timer service of a state shard. Clocks are read only here.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace peridotgrade {

/// Sleeps until the next subscription of a shard's TimerService is due and then calls the shard. The shard
/// locks itself, calls `timers.advance(TimerDriver::now())`, executes its actions, and calls `arm` with
/// `timers.nextDue()`. All calls are thread safe.
class TimerDriver {
public:
    TimerDriver(boost::asio::any_io_executor executor, std::function<void()> onDue);
    /// After `stop` or destruction `onDue` may still complete one call that had already begun.
    ~TimerDriver();
    TimerDriver(const TimerDriver&) = delete;
    TimerDriver& operator=(const TimerDriver&) = delete;

    static TimePoint now();
    static WallTime wallNow();
    /// Continues to advance while the machine is suspended, unlike `now`: for leases whose expiry other
    /// machines observe, too. Must not be mixed with times of `now`.
    static TimePoint bootNow();

    /// Sets the time of the next call, if `due` is earlier than the one that is set; an empty value changes
    /// nothing.
    void arm(std::optional<TimePoint> due);
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
