// One stream of the append-only log.
#pragma once

#include "../common/now.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace peridotgrade::standins {

/// Records in order of offset; the oldest are dropped when their time is over.
class LogStream {
public:
    struct Record {
        std::uint64_t offset = 0;
        std::uint64_t unixMillis = 0;
        StandinClock::time_point appendedAt;
        std::string data;
    };

    /// Offset of the first of `records`.
    std::uint64_t append(std::vector<std::string> records);
    /// Drops what is older than `retention`.
    void trim(std::chrono::milliseconds retention);
    /// At most `limit` records from `offset` on.
    std::vector<Record> read(std::uint64_t offset, std::size_t limit) const;

    /// Offset of the oldest record kept; `next()` if none is.
    std::uint64_t oldest() const;
    std::uint64_t next() const { return this->nextOffset; }

private:
    /// Invariant: offsets are consecutive and end just below `nextOffset`.
    std::deque<Record> records;
    std::uint64_t nextOffset = 0;
};

} // namespace peridotgrade::standins
