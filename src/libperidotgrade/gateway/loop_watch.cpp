// Delays of the event loop in metrics and log lines.
#include "peridotgrade/gateway/loop_watch.h"

#include "peridotgrade/gateway/request_trace.h"

#include <ctime>
#include <string>
#include <utility>

namespace peridotgrade {

Duration LoopWatch::processorTime()
{
    timespec used {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds { used.tv_sec } + std::chrono::nanoseconds { used.tv_nsec };
}

LoopWatch::LoopWatch(Logger& log, MetricsRegistry& registry)
    : log(log)
    , registry(registry)
    , delays(registry.distribution({ "peridot_gateway_loop_delay_seconds",
          "Delays of a timer of the event loop, which other handlers may have waited for too", "", "" }))
    , processorTimeBefore(processorTime())
{
}

void LoopWatch::noteTurn(TimePoint due, TimePoint now, Duration processorTime)
{
    Duration delay = now - due;
    Duration used = processorTime - std::exchange(this->processorTimeBefore, processorTime);
    Activity activity = std::exchange(this->longest, {});
    this->delays.add(delay);
    if (delay < MaxDelay)
        return;
    if (this->loggedAt && now - *this->loggedAt < LogInterval) {
        ++this->unlogged;
        return;
    }
    this->loggedAt = now;
    this->log.write(LogLevel::Warn, "loop_delayed",
        { { "delay_ms", millisecondsText(delay) }, { "processor_ms", millisecondsText(used) },
            { "activity", std::string { activity.name } }, { "activity_ms", millisecondsText(activity.took) },
            { "unlogged", std::to_string(std::exchange(this->unlogged, 0)) } });
}

void LoopWatch::noteActivity(std::string_view activity, Duration took)
{
    Distribution*& times = this->activities[activity];
    if (times == nullptr)
        times = &this->registry.distribution({ "peridot_gateway_loop_activity_seconds",
            "Time that an activity occupied the event loop without interruption", "activity",
            std::string { activity } });
    times->add(took);
    if (took > this->longest.took)
        this->longest = { activity, took };
}

} // namespace peridotgrade
