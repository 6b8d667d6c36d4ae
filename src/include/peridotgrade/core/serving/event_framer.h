// Splits the bytes of an event stream into complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// Buffers the bytes of one server's event stream and releases only complete events, so that a stream that
/// breaks inside an event can be resumed at another server without a torn or repeated one.
class EventFramer {
public:
    /// Appends bytes and returns the events that are complete now, byte for byte; empty if there is none.
    std::string push(std::string_view bytes);
    bool hasPartialEvent() const { return !this->pending.empty(); }
    /// Drops a torn event before the stream is resumed at another server.
    void dropPartialEvent() { this->pending.clear(); }

    /// Id of the last complete event that had one.
    std::optional<std::uint64_t> lastId() const { return this->lastEventId; }
    std::uint32_t events() const { return this->completeEvents; }

private:
    void noteEvent(std::string_view event);

    std::string pending;
    std::optional<std::uint64_t> lastEventId;
    std::uint32_t completeEvents = 0;
};

} // namespace peridotgrade
