// The timeline of a process: its latest events, in a ring buffer.
#pragma once

#include "peridotgrade/core/base/timeline_event.h"
#include "peridotgrade/ops/hybrid_clock.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace peridotgrade {

/// Filter of a timeline; empty fields match all events.
struct TimelineQuery {
    /// A request id as text (`textOf`), or the id that the caller gave the request.
    std::string request;
    /// A plan, server or other subject, as in `TimelineEvent::subject`; the name of the node matches all
    /// events.
    std::string subject;
};

/// Keeps the latest events with their hybrid times and counts those that were overwritten. Thread safe.
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
