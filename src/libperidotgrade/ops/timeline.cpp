// Records events in a ring buffer and writes those that match a query as JSON.
#include "peridotgrade/ops/timeline.h"

#include "peridotgrade/ops/id_text.h"

#include <boost/json.hpp>

namespace peridotgrade {

namespace json = boost::json;

namespace {
    bool hasRequest(const TimelineEvent& event) { return event.attempt.request != RequestId {}; }
} // namespace

Timeline::Timeline(std::string node, std::size_t capacity, HybridClock& clock)
    : node(std::move(node))
    , capacity(capacity)
    , clock(clock)
{
}

void Timeline::record(TimelineEvent event)
{
    HybridTime time = this->clock.tick();
    std::lock_guard lock(this->mutex);
    TimestampedEvent entry { time, std::move(event) };
    if (this->ring.size() < this->capacity) {
        this->ring.push_back(std::move(entry));
        return;
    }
    this->ring[this->next] = std::move(entry);
    this->next = (this->next + 1) % this->capacity;
    ++this->lost;
}

/// The id that a caller gave its request is the detail of the `RequestArrived` event.
std::string Timeline::resolveRequestId(const std::string& name) const
{
    if (name.empty() || requestIdFrom(name))
        return name;
    for (const TimestampedEvent& entry : this->ring) {
        if (entry.event.kind == EventKind::RequestArrived && entry.event.detail == name)
            return textOf(entry.event.attempt.request);
    }
    return name;
}

bool Timeline::matches(
    const TimestampedEvent& entry, const std::string& request, const TimelineQuery& query) const
{
    if (!request.empty() && (!hasRequest(entry.event) || textOf(entry.event.attempt.request) != request))
        return false;
    return query.subject.empty() || entry.event.subject == query.subject || this->node == query.subject;
}

std::string Timeline::toJson(const TimelineQuery& query) const
{
    std::lock_guard lock(this->mutex);
    json::array events;
    std::string request = this->resolveRequestId(query.request);
    for (std::size_t index = 0; index < this->ring.size(); ++index) {
        const TimestampedEvent& entry = this->ring[(this->next + index) % this->ring.size()];
        if (!this->matches(entry, request, query))
            continue;
        json::object object;
        object["clock"] = entry.clock.raw();
        object["kind"] = std::string_view { nameOf(entry.event.kind) };
        object["request"] = hasRequest(entry.event) ? textOf(entry.event.attempt.request) : std::string {};
        object["attempt"] = entry.event.attempt.number;
        object["subject"] = entry.event.subject;
        object["detail"] = entry.event.detail;
        events.push_back(std::move(object));
    }
    json::object result;
    result["node"] = this->node;
    result["lost"] = this->lost;
    result["events"] = std::move(events);
    return json::serialize(result);
}

std::uint64_t Timeline::lostEvents() const
{
    std::lock_guard lock(this->mutex);
    return this->lost;
}

} // namespace peridotgrade
