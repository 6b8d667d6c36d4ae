// Time types of the core: times are passed in, never read from a clock.
#pragma once

#include <chrono>

namespace peridotgrade {

/// A monotonic clock type that cannot be read. Daemons pass in the times of a steady clock through the timer
/// service, tests and benchmarks those of a virtual clock.
struct CoreClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

using Duration = CoreClock::duration;
using TimePoint = CoreClock::time_point;

/// Time of day, for records that outlive a process. Passed in, never read by the core.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace peridotgrade
