// Finds whole events in the bytes of an event stream.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// Takes the bytes of one server's stream as they come and gives them on in whole events, so that a stream
/// that breaks off inside an event can go on from another server without a torn or doubled one.
class EventFramer {
public:
    /// The events that are whole now, byte for byte; empty if none is.
    std::string push(std::string_view bytes);
    /// What is left of an event that is not whole.
    bool hasPartialEvent() const { return !this->pending.empty(); }
    /// Forgets a torn event, before the stream goes on from another server.
    void dropPartialEvent() { this->pending.clear(); }

    /// Id of the last whole event that had one.
    std::optional<std::uint64_t> lastId() const { return this->lastEventId; }
    std::uint32_t events() const { return this->wholeEvents; }

private:
    void noteEvent(std::string_view event);

    std::string pending;
    std::optional<std::uint64_t> lastEventId;
    std::uint32_t wholeEvents = 0;
};

} // namespace peridotgrade
