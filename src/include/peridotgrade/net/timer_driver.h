// The one place that reads clocks: drives the timer service of a state shard.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace peridotgrade {

/// Sleeps until the next subscription of a shard's TimerService is due and then calls the shard. The shard
/// answers by locking itself, `timers.advance(TimerDriver::now())`, draining its actions, and `arm` with
/// `timers.nextDue()`. All calls are thread safe.
class TimerDriver {
public:
    TimerDriver(boost::asio::any_io_executor executor, std::function<void()> onDue);
    /// After `stop` or destruction `onDue` may run once more if it had already begun.
    ~TimerDriver();
    TimerDriver(const TimerDriver&) = delete;
    TimerDriver& operator=(const TimerDriver&) = delete;

    static TimePoint now();
    static WallTime wallNow();
    /// Goes on while the machine is suspended, which `now` does not: for leases that others count, too. Not
    /// to be mixed with times of `now`.
    static TimePoint bootNow();

    /// Replaces what was armed before, if `due` is earlier; nothing disarms.
    void arm(std::optional<TimePoint> due);
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
