// A client for the platform's log service.
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

/// Records read from one stream, with the range of offsets that the log retains.
struct LogPage {
    LogOffset oldest;
    /// Offset of the next record to be appended.
    LogOffset next;
    std::vector<LogRecord> records;
};

/// Appends to and reads streams of the log. An append is sent only once: if its response is lost, the caller
/// finds out by reading whether it took effect. All calls run on the given executor.
class LogClient {
public:
    LogClient(boost::asio::any_io_executor executor, Endpoint platform);
    ~LogClient();
    LogClient(const LogClient&) = delete;
    LogClient& operator=(const LogClient&) = delete;

    /// Appends all records at consecutive offsets and returns the offset of the first.
    boost::asio::awaitable<std::variant<LogOffset, LogError>> append(
        std::string stream, std::vector<std::string> records, std::chrono::milliseconds timeout);

    /// Reads up to `limit` records, starting at `from`. Waits up to `wait` if there is no record yet.
    boost::asio::awaitable<std::variant<LogPage, LogError>> read(
        std::string stream, LogOffset from, std::uint32_t limit, std::chrono::milliseconds wait);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
