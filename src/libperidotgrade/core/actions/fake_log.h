// Fake of the platform's log for the randomised simulation: ordered records with retention.
#pragma once

#include "peridotgrade/core/messages/log_record.h"

#include <vector>

namespace peridotgrade::testing {

/// Stores records in order and drops those older than the retention from the front.
class FakeLog {
public:
    explicit FakeLog(std::chrono::milliseconds retention)
        : retention(retention)
    {
    }

    void append(const std::vector<std::string>& data, WallTime now)
    {
        for (const std::string& text : data)
            this->records.push_back({ LogOffset { this->records.size() }, now, text });
        this->drop(now);
    }

    void drop(WallTime now)
    {
        while (this->first < this->records.size()
            && this->records[this->first].appendedAt < now - this->retention)
            ++this->first;
    }

    std::size_t oldest() const { return this->first; }
    std::size_t end() const { return this->records.size(); }

    std::vector<LogRecord> from(std::size_t offset) const
    {
        return { this->records.begin() + static_cast<std::ptrdiff_t>(offset), this->records.end() };
    }

private:
    std::chrono::milliseconds retention;
    std::vector<LogRecord> records;
    /// Offset of the oldest record that is kept. Invariant: at most the number of records.
    std::size_t first = 0;
};

} // namespace peridotgrade::testing
