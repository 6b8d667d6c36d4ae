// A client of the platform's log service.
#pragma once

#include "peridotgrade/core/messages/log_record.h"
#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/services/log_error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// Records read from one stream, with the bounds of what the log keeps.
struct LogPage {
    LogOffset oldest;
    /// Offset that the next appended record will get.
    LogOffset next;
    std::vector<LogRecord> records;
};

/// Appends to and reads streams of the log. An append is sent once: whether one with a lost answer took
/// effect is found out by reading, not by sending it again. All calls run on the given executor.
class LogClient {
public:
    LogClient(boost::asio::any_io_executor executor, Endpoint platform);
    ~LogClient();
    LogClient(const LogClient&) = delete;
    LogClient& operator=(const LogClient&) = delete;

    /// Appends all records next to each other; gives the offset of the first.
    boost::asio::awaitable<std::variant<LogOffset, LogError>> append(
        std::string stream, std::vector<std::string> records, std::chrono::milliseconds timeout);

    /// Reads up to `limit` records from `from` on; waits up to `wait` for one if there is none yet.
    boost::asio::awaitable<std::variant<LogPage, LogError>> read(
        std::string stream, LogOffset from, std::uint32_t limit, std::chrono::milliseconds wait);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
