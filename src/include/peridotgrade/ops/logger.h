// Logger of a process: one line of key=value pairs for each event.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace peridotgrade {

enum class LogLevel : std::uint8_t { Trace, Debug, Info, Warn, Error };

/// `trace`, `debug`, `info`, `warn` or `error`.
std::string_view nameOf(LogLevel level);
std::optional<LogLevel> logLevelFrom(std::string_view name);

/// One pair of a log line. Values with blanks, quotes, `=` or control characters are written in quotes.
struct LogField {
    std::string_view key;
    std::string value;
};

/// Where log lines go.
enum class LogTarget : std::uint8_t {
    /// Blocking; every line is flushed.
    StandardError,
    /// Non-blocking; lines that do not fit into the pipe of a slow reader are dropped and counted.
    StandardOutput,
};

struct LoggerOptions {
    std::string node;
    LogLevel level = LogLevel::Info;
    LogTarget target = LogTarget::StandardError;
    /// Further lines within the same second are dropped and counted; 0 means no limit. Applies to standard
    /// output only.
    std::uint32_t maxLinesPerSecond = 0;
};

/// Writes events to standard error or output through log4cplus. Every line carries time, level, node and
/// event; those that belong to a request carry its id. The level can be changed while the process runs. A
/// process has one logger. Thread safe.
class Logger {
public:
    Logger(const std::string& node, LogLevel level);
    explicit Logger(const LoggerOptions& options);
    ~Logger();
    Logger(const Logger&) = delete;
    Logger& operator=(const Logger&) = delete;

    bool isEnabled(LogLevel level) const;
    void setLevel(LogLevel level);
    LogLevel level() const;

    /// An event of the process.
    void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});
    void write(LogLevel level, std::string_view event, std::span<const LogField> fields);
    /// An event of a request.
    void write(LogLevel level, std::string_view event, RequestId request,
        std::initializer_list<LogField> fields = {});

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
