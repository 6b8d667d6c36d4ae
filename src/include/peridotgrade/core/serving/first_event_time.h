// How long first events take after their reservation was granted, as the entry measured recently.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

namespace peridotgrade {

/// Expects the time for a prompt from the time of its prefill without a wait, the present wait for prefill
/// engines, and what comes after the prefill. An answer that would need less than a median is more likely
/// late than on time. Not thread safe.
class FirstEventTime {
public:
    /// Times that are kept, and times needed for a median. An entry may see one stream per second.
    static constexpr std::size_t MaxTimes = 15;
    static constexpr std::size_t MinTimes = 4;
    /// Prefills whose median wait is the present one: the queue of prefills grows within a second of a burst.
    static constexpr std::size_t PresentPrefills = 5;
    /// Load changes within seconds, so older times say nothing about the next request.
    static constexpr std::chrono::seconds MaxAge { 8 };

    void record(TimePoint now, Duration took) { push(this->times, { now, took, {} }); }
    /// Records a prefill that takes `cost` at an idle engine.
    void recordPrefill(TimePoint now, Duration took, Duration cost);
    std::optional<Duration> median(TimePoint now) const;
    /// For a prompt whose prefill takes `cost` at an idle engine; the median of all prompts where `cost` or
    /// recent prefills are not known. Nothing without evidence.
    std::optional<Duration> expected(TimePoint now, std::optional<Duration> cost) const;

private:
    struct Measured {
        TimePoint at;
        Duration took {};
        /// Time above that of an idle engine; for prefills only.
        Duration wait {};
    };
    static void push(std::deque<Measured>& items, Measured item);
    /// Median of a member of the recent ones among the last `count`; nothing if they are too few.
    static std::optional<Duration> medianOf(
        const std::deque<Measured>& items, Duration Measured::*member, std::size_t count, TimePoint now);

    std::deque<Measured> times;
    std::deque<Measured> prefills;
};

} // namespace peridotgrade
