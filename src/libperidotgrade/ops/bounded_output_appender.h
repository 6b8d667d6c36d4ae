// A non-blocking log4cplus appender.
#pragma once

#include <log4cplus/appender.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace peridotgrade {

/// Writes lines to standard output without blocking. A line that does not fit into the pipe, or that exceeds
/// the limit of lines per second, is dropped; the next line written contains the number of dropped lines.
class BoundedOutputAppender final : public log4cplus::Appender {
public:
    /// With 0 the lines per second are not limited.
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
    /// The remainder of a line that a full pipe cut off; written before any other line.
    std::string partialLine;
};

} // namespace peridotgrade
