// Time as the core sees it: values handed in, never read from a clock.
#pragma once

#include <chrono>

namespace peridotgrade {

/// A monotonic time scale without a way to read it. Daemons feed it from a steady clock through the timer
/// service, tests and benchmarks from virtual time.
struct CoreClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

using Duration = CoreClock::duration;
using TimePoint = CoreClock::time_point;

/// Time of day, for records that outlive a process. Handed in, never read by the core.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace peridotgrade
