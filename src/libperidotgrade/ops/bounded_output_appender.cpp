// Non-blocking writes to standard output; lines that do not fit are dropped and counted.
#include "bounded_output_appender.h"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <fcntl.h>
#include <unistd.h>

#include <sstream>

namespace peridotgrade {

BoundedOutputAppender::BoundedOutputAppender(std::uint32_t maxLinesPerSecond)
    : maxLinesPerSecond(maxLinesPerSecond)
{
    int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

BoundedOutputAppender::~BoundedOutputAppender() { this->destructorImpl(); }

void BoundedOutputAppender::close() { this->closed = true; }

void BoundedOutputAppender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    auto second = std::chrono::duration_cast<std::chrono::seconds>(event.getTimestamp().time_since_epoch());
    if (this->isOverLineLimit(second)) {
        ++this->dropped;
        return;
    }
    std::ostringstream text;
    this->layout->formatAndAppend(text, event);
    std::string line = text.str();
    if (this->dropped > 0 && !line.empty() && line.back() == '\n') {
        line.pop_back();
        line += " dropped_before=" + std::to_string(this->dropped) + "\n";
    }
    this->write(std::move(line));
}

bool BoundedOutputAppender::isOverLineLimit(std::chrono::seconds second)
{
    if (second != this->currentSecond) {
        this->currentSecond = second;
        this->linesInSecond = 0;
    }
    ++this->linesInSecond;
    return this->maxLinesPerSecond > 0 && this->linesInSecond > this->maxLinesPerSecond;
}

void BoundedOutputAppender::write(std::string line)
{
    std::string bytes = this->partialLine + line;
    ssize_t written = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    std::size_t size = written < 0 ? 0 : static_cast<std::size_t>(written);
    if (size < this->partialLine.size()) {
        // Not even the remainder of the previous line fits, so the whole new line is dropped.
        this->partialLine.erase(0, size);
        ++this->dropped;
        return;
    }
    if (size == this->partialLine.size() && !line.empty()) {
        this->partialLine.clear();
        ++this->dropped;
        return;
    }
    this->partialLine = bytes.substr(size);
    this->dropped = 0;
}

} // namespace peridotgrade
