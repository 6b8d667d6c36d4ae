// Append, read and retention of one log stream.
#include "log_stream.h"

#include <algorithm>

namespace peridotgrade::standins {

std::uint64_t LogStream::append(std::vector<std::string> added)
{
    std::uint64_t first = this->nextOffset;
    auto wall = std::chrono::system_clock::now().time_since_epoch();
    for (std::string& data : added) {
        Record record;
        record.offset = this->nextOffset++;
        record.unixMillis = static_cast<std::uint64_t>(millis(wall));
        record.appendedAt = StandinClock::now();
        record.data = std::move(data);
        this->records.push_back(std::move(record));
    }
    return first;
}

void LogStream::trim(std::chrono::milliseconds retention)
{
    auto limit = StandinClock::now() - retention;
    while (!this->records.empty() && this->records.front().appendedAt < limit)
        this->records.pop_front();
}

std::vector<LogStream::Record> LogStream::read(std::uint64_t offset, std::size_t limit) const
{
    if (offset >= this->nextOffset)
        return {};
    std::size_t skipped = offset - this->oldest();
    std::size_t count = std::min(limit, this->records.size() - skipped);
    auto begin = this->records.begin() + static_cast<std::ptrdiff_t>(skipped);
    return { begin, begin + static_cast<std::ptrdiff_t>(count) };
}

std::uint64_t LogStream::oldest() const
{
    return this->records.empty() ? this->nextOffset : this->records.front().offset;
}

} // namespace peridotgrade::standins
