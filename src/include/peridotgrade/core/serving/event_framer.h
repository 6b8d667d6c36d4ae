// Splits the bytes of an event stream into complete events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// Buffers the bytes of an event stream and releases only complete events, so that a stream that breaks
/// inside an event can be resumed at another server without a torn or repeated one. Where ids have to grow,
/// an event whose id does not is neither released nor counted, and nothing is after it: its server repeats
/// events or numbers them wrongly, so no server can go on after the last of them.
class EventFramer {
public:
    enum class EventIds : std::uint8_t { Any, Growing };

    /// Events have some hundred bytes.
    static constexpr std::size_t MaxEventBytes = 256 * 1024;

    /// `lastId` is that of the last event that the caller has, if it resumes a stream.
    explicit EventFramer(EventIds ids = EventIds::Any, std::optional<std::uint64_t> lastId = std::nullopt)
        : ids(ids)
        , lastEventId(lastId)
    {
    }

    /// Appends bytes and returns the events that are complete now, byte for byte; empty if there is none.
    std::string push(std::string_view bytes);
    bool hasPartialEvent() const { return !this->pending.empty(); }
    /// The bytes after the last complete event are more than an event may have. The stream must end here.
    bool isEventTooLong() const { return this->pending.size() > MaxEventBytes; }
    /// An event came whose id did not grow. The stream must end here.
    bool hasRepeatedId() const { return this->isOutOfOrder; }
    /// Drops a torn event before the stream is resumed at another server.
    void dropPartialEvent()
    {
        this->pending.clear();
        this->searched = 0;
    }

    /// Id of the last complete event that had one, or of the last one that the caller had before.
    std::optional<std::uint64_t> lastId() const { return this->lastEventId; }
    std::uint32_t events() const { return this->completeEvents; }

private:
    /// False if the event's id does not grow and has to.
    bool noteEvent(std::string_view event);

    EventIds ids;
    std::string pending;
    /// Bytes of `pending` in which no end of an event begins.
    std::size_t searched = 0;
    std::optional<std::uint64_t> lastEventId;
    std::uint32_t completeEvents = 0;
    /// Invariant: never true if any ids are allowed.
    bool isOutOfOrder = false;
};

} // namespace peridotgrade
