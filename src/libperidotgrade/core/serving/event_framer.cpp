// Event boundaries and ids of event streams.
#include "peridotgrade/core/serving/event_framer.h"

#include <algorithm>
#include <charconv>

namespace peridotgrade {

namespace {

    constexpr std::string_view EventEnd = "\n\n";
    constexpr std::string_view EventEndCrLf = "\r\n\r\n";

    /// Position after the first complete event that ends behind `from`, if there is one.
    std::optional<std::size_t> endOfEvent(std::string_view bytes, std::size_t from)
    {
        std::size_t plain = bytes.find(EventEnd, from);
        std::size_t withReturn = bytes.find(EventEndCrLf, from);
        if (plain == std::string_view::npos && withReturn == std::string_view::npos)
            return std::nullopt;
        if (plain < withReturn)
            return plain + EventEnd.size();
        return withReturn + EventEndCrLf.size();
    }

    std::optional<std::uint64_t> idOf(std::string_view line)
    {
        constexpr std::string_view Key = "id:";
        if (!line.starts_with(Key))
            return std::nullopt;
        line.remove_prefix(Key.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        auto [end, status] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (status != std::errc {})
            return std::nullopt;
        return id;
    }

} // namespace

std::string EventFramer::push(std::string_view bytes)
{
    if (this->isOutOfOrder)
        return {};
    this->pending += bytes;
    std::size_t completeBytes = 0;
    while (auto end = endOfEvent(this->pending, std::max(this->searched, completeBytes))) {
        std::string_view event
            = std::string_view { this->pending }.substr(completeBytes, *end - completeBytes);
        if (!this->noteEvent(event)) {
            this->isOutOfOrder = true;
            this->pending.resize(completeBytes);
            break;
        }
        completeBytes = *end;
    }
    std::string result = this->pending.substr(0, completeBytes);
    this->pending.erase(0, completeBytes);
    // The end of an event may be split between two pieces.
    this->searched = this->pending.size() - std::min(this->pending.size(), EventEndCrLf.size() - 1);
    return result;
}

bool EventFramer::noteEvent(std::string_view event)
{
    std::optional<std::uint64_t> eventId;
    while (!event.empty()) {
        std::size_t end = std::min(event.find('\n'), event.size());
        if (auto id = idOf(event.substr(0, end)))
            eventId = id;
        event.remove_prefix(std::min(end + 1, event.size()));
    }
    bool hasGrown = !eventId || !this->lastEventId || *eventId > *this->lastEventId;
    if (this->ids == EventIds::Growing && !hasGrown)
        return false;
    ++this->completeEvents;
    if (eventId)
        this->lastEventId = eventId;
    return true;
}

} // namespace peridotgrade
