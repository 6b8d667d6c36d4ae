// Merges the time lines of several processes into one.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// One event with the process that recorded it.
struct MergedEvent {
    /// Hybrid logical clock: milliseconds since the epoch in the upper 48 bits, a counter below.
    std::uint64_t clock = 0;
    std::string node;
    std::string kind;
    std::string request;
    std::uint64_t attempt = 0;
    std::string subject;
    std::string detail;
};

/// Events of all processes in order of their hybrid clocks: an event that a message caused stands after the
/// one that sent it.
struct MergedTimeline {
    std::vector<MergedEvent> events;
    /// Processes whose time line could not be read, and why.
    std::vector<std::string> missing;
    /// Events that had to make room in some process's ring.
    std::uint64_t lostEvents = 0;

    /// Adds one process's `/timeline`; false if the text is none, which is noted in `missing` under `source`.
    bool add(const std::string& source, const std::string& json);
    /// Puts the events in order; to be called after the last `add`.
    void sort();

    /// One line an event, and what is lost or missing at the end.
    std::string text() const;
    std::string json() const;
    /// The trace-event format that browsers' trace viewers open: one process a node, one thread a request.
    std::string traceEvents() const;
};

} // namespace peridotgrade
