// The time line of one process: its latest events, in a bounded ring.
#pragma once

#include "peridotgrade/core/base/timeline_event.h"
#include "peridotgrade/ops/hybrid_clock.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace peridotgrade {

/// What a reader of the time line wants; empty fields match everything.
struct TimelineQuery {
    /// A request id (`textOf`), or the id that the caller gave the request.
    std::string request;
    /// A plan, server or other party, as in `TimelineEvent::subject`.
    std::string subject;
};

/// Keeps the latest events with their hybrid time and counts those that had to make room. Thread safe.
class Timeline final : public EventSink {
public:
    Timeline(std::string node, std::size_t capacity, HybridClock& clock);

    void record(TimelineEvent event) override;

    /// `{"node":…,"lost":…,"events":[{"clock":…,"kind":…,"request":…,"attempt":…,"subject":…,"detail":…}]}`,
    /// oldest first.
    std::string toJson(const TimelineQuery& query) const;
    std::uint64_t lostEvents() const;

private:
    struct TimestampedEvent {
        HybridTime clock;
        TimelineEvent event;
    };

    std::string resolveRequestId(const std::string& name) const;
    bool matches(const TimestampedEvent& entry, const std::string& request, const TimelineQuery& query) const;

    const std::string node;
    const std::size_t capacity;
    HybridClock& clock;
    mutable std::mutex mutex;
    /// Invariant: at most `capacity` events; the oldest is at `next` when full.
    std::vector<TimestampedEvent> ring;
    std::size_t next = 0;
    std::uint64_t lost = 0;
};

} // namespace peridotgrade
