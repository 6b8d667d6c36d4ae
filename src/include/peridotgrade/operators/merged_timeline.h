// Merges the timelines of several processes into one.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// An event and the process that recorded it.
struct MergedEvent {
    /// Hybrid logical clock: milliseconds since the epoch in the upper 48 bits, a counter in the lower 16.
    std::uint64_t clock = 0;
    std::string node;
    std::string kind;
    std::string request;
    std::uint64_t attempt = 0;
    std::string subject;
    std::string detail;
};

/// Events of all processes in the order of their hybrid clocks: an event that a message caused comes after
/// the event that sent the message.
struct MergedTimeline {
    std::vector<MergedEvent> events;
    /// Processes whose timeline could not be read, and why.
    std::vector<std::string> missing;
    /// Events that were overwritten in the full ring buffers of the processes.
    std::uint64_t lostEvents = 0;

    /// Adds a process's response to `/timeline`. Returns false if it is not a timeline; `missing` then names
    /// `source`.
    bool add(const std::string& source, const std::string& json);
    /// Sorts the events; called once after the last `add`.
    void sort();

    /// One line for each event, followed by the number of lost events and the missing processes.
    std::string text() const;
    std::string json() const;
    /// Trace Event Format for the trace viewers of browsers: a node is a process, a request on it a thread.
    std::string traceEvents() const;
};

} // namespace peridotgrade
