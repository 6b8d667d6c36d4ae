// The last timeline events of all processes of a simulation, printed after a failure.
#pragma once

#include "peridotgrade/core/base/timeline_event.h"

#include <deque>
#include <ostream>
#include <string>
#include <utility>

namespace peridotgrade::test {

class EventLog {
public:
    static constexpr std::size_t MaxLines = 400;

    void add(const std::string& process, TimelineEvent event)
    {
        this->hash = this->hash * 1099511628211U
            + static_cast<std::uint64_t>(event.at.time_since_epoch().count())
            + static_cast<std::uint64_t>(event.kind) + event.attempt.request.raw();
        this->lines.emplace_back(process, std::move(event));
        if (this->lines.size() > MaxLines)
            this->lines.pop_front();
    }

    /// Equal for two simulations with the same events at the same times.
    std::uint64_t digest() const { return this->hash; }

    void print(std::ostream& out) const
    {
        for (const auto& [process, event] : this->lines) {
            auto at = std::chrono::duration_cast<std::chrono::microseconds>(event.at.time_since_epoch());
            out << at.count() << "us " << process << " " << nameOf(event.kind) << " "
                << event.attempt.request.raw() % 100000 << "." << event.attempt.number << " " << event.subject
                << " " << event.detail << "\n";
        }
    }

private:
    std::deque<std::pair<std::string, TimelineEvent>> lines;
    std::uint64_t hash = 14695981039346656037U;
};

/// Writes the events of one process to the log of the simulation.
class LoggingSink final : public EventSink {
public:
    LoggingSink(std::string process, EventLog& log)
        : process(std::move(process))
        , log(log)
    {
    }

    void record(TimelineEvent event) override { this->log.add(this->process, std::move(event)); }

private:
    std::string process;
    EventLog& log;
};

} // namespace peridotgrade::test
