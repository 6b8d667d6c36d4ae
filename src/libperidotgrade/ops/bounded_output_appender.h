// A log4cplus appender that never makes the process wait.
#pragma once

#include <log4cplus/appender.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace peridotgrade {

/// Writes lines to standard output without waiting for its reader: a line for which there is no room, or that
/// is over the bound of a second, is dropped, and the next line that is written tells how many were.
class BoundedOutputAppender final : public log4cplus::Appender {
public:
    /// 0 sets no bound on the lines of a second.
    explicit BoundedOutputAppender(std::uint32_t maxLinesPerSecond);
    ~BoundedOutputAppender() override;
    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    bool isOverLineLimit(std::chrono::seconds second);
    void write(std::string line);

    std::uint32_t maxLinesPerSecond;
    std::chrono::seconds currentSecond { 0 };
    std::uint32_t linesInSecond = 0;
    std::uint64_t dropped = 0;
    /// The rest of a line that was cut by a full pipe; written before anything else.
    std::string partialLine;
};

} // namespace peridotgrade
