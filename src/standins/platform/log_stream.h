// One stream of the fake platform's append-only log.
#pragma once

#include "../common/now.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace peridotgrade::standins {

/// Records in order of offset; the oldest are removed once they exceed the retention period.
class LogStream {
public:
    struct Record {
        std::uint64_t offset = 0;
        std::uint64_t unixMillis = 0;
        StandinClock::time_point appendedAt;
        std::string data;
    };

    /// Returns the offset of the first of `records`.
    std::uint64_t append(std::vector<std::string> records);
    /// Removes records older than `retention`.
    void trim(std::chrono::milliseconds retention);
    /// Returns at most `limit` records, starting at `offset`.
    std::vector<Record> read(std::uint64_t offset, std::size_t limit) const;

    /// Offset of the oldest retained record; `next()` if the stream is empty.
    std::uint64_t oldest() const;
    std::uint64_t next() const { return this->nextOffset; }

private:
    /// Invariant: offsets are consecutive and end just below `nextOffset`.
    std::deque<Record> records;
    std::uint64_t nextOffset = 0;
};

} // namespace peridotgrade::standins
