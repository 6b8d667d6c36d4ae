// Formats log lines and writes them through log4cplus.
#include "peridotgrade/ops/logger.h"

#include "bounded_output_appender.h"
#include "peridotgrade/core/base/name_table.h"
#include "peridotgrade/ops/id_text.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <array>
#include <atomic>

namespace peridotgrade {

namespace {

    constexpr std::array<std::string_view, 5> LevelNames { "trace", "debug", "info", "warn", "error" };
    // UTC time with milliseconds; all other fields are part of the message.
    constexpr const char* Pattern = "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} %m%n";

    log4cplus::LogLevel libraryLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Trace:
            return log4cplus::TRACE_LOG_LEVEL;
        case LogLevel::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case LogLevel::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case LogLevel::Warn:
            return log4cplus::WARN_LOG_LEVEL;
        case LogLevel::Error:
            break;
        }
        return log4cplus::ERROR_LOG_LEVEL;
    }

    bool needsQuotes(std::string_view value)
    {
        if (value.empty())
            return true;
        for (char c : value) {
            bool isPlain
                = static_cast<unsigned char>(c) > ' ' && c != '"' && c != '\\' && c != '=' && c != '\x7f';
            if (!isPlain)
                return true;
        }
        return false;
    }

    void appendQuoted(std::string& line, std::string_view value)
    {
        line += '"';
        for (char c : value) {
            bool isControl = static_cast<unsigned char>(c) < ' ' || c == '\x7f';
            if (c == '"' || c == '\\')
                line += '\\';
            line += isControl ? ' ' : c;
        }
        line += '"';
    }

    void appendField(std::string& line, std::string_view key, std::string_view value)
    {
        line += ' ';
        line += key;
        line += '=';
        if (needsQuotes(value))
            appendQuoted(line, value);
        else
            line += value;
    }

    log4cplus::SharedAppenderPtr appenderFor(const LoggerOptions& options)
    {
        if (options.target == LogTarget::StandardOutput)
            return log4cplus::SharedAppenderPtr { new BoundedOutputAppender(options.maxLinesPerSecond) };
        constexpr bool LogToStderr = true;
        constexpr bool ImmediateFlush = true;
        return log4cplus::SharedAppenderPtr { new log4cplus::ConsoleAppender(LogToStderr, ImmediateFlush) };
    }

} // namespace

std::string_view nameOf(LogLevel level) { return nameAt(LevelNames, level); }

std::optional<LogLevel> logLevelFrom(std::string_view name)
{
    for (std::size_t index = 0; index < LevelNames.size(); ++index) {
        if (LevelNames[index] == name)
            return static_cast<LogLevel>(index);
    }
    return std::nullopt;
}

class Logger::Impl {
public:
    explicit Impl(const LoggerOptions& options)
        : node(options.node)
        , logger(log4cplus::Logger::getInstance("peridotgrade"))
    {
        log4cplus::SharedAppenderPtr appender = appenderFor(options);
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
        this->logger.removeAllAppenders();
        this->logger.addAppender(appender);
        this->logger.setAdditivity(false);
        this->setLevel(options.level);
    }

    void setLevel(LogLevel value)
    {
        this->level = value;
        this->logger.setLogLevel(libraryLevel(value));
    }

    void write(LogLevel eventLevel, std::string_view event, const RequestId* request,
        std::span<const LogField> fields)
    {
        std::string line = "level=" + std::string { nameOf(eventLevel) };
        appendField(line, "node", this->node);
        appendField(line, "event", event);
        if (request != nullptr)
            appendField(line, "request", textOf(*request));
        for (const LogField& field : fields)
            appendField(line, field.key, field.value);
        this->logger.log(libraryLevel(eventLevel), line);
    }

    std::atomic<LogLevel> level = LogLevel::Info;

private:
    log4cplus::Initializer initializer;
    const std::string node;
    log4cplus::Logger logger;
};

Logger::Logger(const std::string& node, LogLevel level)
    : Logger(LoggerOptions { node, level, LogTarget::StandardError, 0 })
{
}

Logger::Logger(const LoggerOptions& options)
    : impl(std::make_unique<Impl>(options))
{
}

Logger::~Logger() = default;

bool Logger::isEnabled(LogLevel level) const { return level >= this->impl->level; }

void Logger::setLevel(LogLevel level) { this->impl->setLevel(level); }

LogLevel Logger::level() const { return this->impl->level; }

void Logger::write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    this->write(level, event, std::span<const LogField> { fields.begin(), fields.size() });
}

void Logger::write(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    if (this->isEnabled(level))
        this->impl->write(level, event, nullptr, fields);
}

void Logger::write(
    LogLevel level, std::string_view event, RequestId request, std::initializer_list<LogField> fields)
{
    if (this->isEnabled(level))
        this->impl->write(level, event, &request, { fields.begin(), fields.size() });
}

} // namespace peridotgrade
