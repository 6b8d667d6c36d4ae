// Measures for how long the event loop of a thread leaves what is ready waiting, and why.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/net/timer_driver.h"
#include "peridotgrade/ops/logger.h"
#include "peridotgrade/ops/metrics.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace peridotgrade {

/// Each timer of the loop that is due reports by how much it is late: other handlers may have waited as long.
/// No timer is armed for this alone but one a second, since each wakes the process.
/// Work that grows with what the program holds runs as an activity with a name, so that a delay can be
/// attributed to it. Not thread safe.
class LoopWatch {
public:
    /// Between timers at most.
    static constexpr std::chrono::seconds Interval { 1 };
    /// A longer delay is logged, one in `LogInterval` at most.
    static constexpr std::chrono::milliseconds MaxDelay { 100 };
    static constexpr std::chrono::seconds LogInterval { 1 };

    /// Of the calling thread. It does not grow while the process is stopped or waits for a processor.
    static Duration processorTime();

    LoopWatch(Logger& log, MetricsRegistry& registry);

    /// To be called when a timer runs that was due then.
    void noteTurn(TimePoint due, TimePoint now, Duration processorTime);
    /// Runs `work` as the activity of that name, which must live as long as this object.
    template <std::invocable Work> void run(std::string_view activity, const Work& work)
    {
        TimePoint began = TimerDriver::now();
        work();
        this->noteActivity(activity, TimerDriver::now() - began);
    }
    void noteActivity(std::string_view activity, Duration took);

private:
    struct Activity {
        std::string_view name = "none";
        Duration took {};
    };

    Logger& log;
    MetricsRegistry& registry;
    Distribution& delays;
    std::map<std::string_view, Distribution*> activities;
    /// The longest since the last turn.
    Activity longest;
    Duration processorTimeBefore {};
    std::optional<TimePoint> loggedAt;
    /// Delays since the last line.
    std::uint64_t unlogged = 0;
};

} // namespace peridotgrade
