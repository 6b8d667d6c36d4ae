// The decisions on one request, kept back until it is known whether anybody needs them.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/ops/logger.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// Collects a line for each decision on a request, to be written together when the request ends: if it
/// failed, if one of its steps did, or if it is one of a sample. Requests that are served at the first try
/// would otherwise fill the logs. Not thread safe.
class RequestTrace {
public:
    /// Lines that are kept; of further ones only the number.
    static constexpr std::size_t MaxLines = 40;
    /// One request of this many is written although nothing failed.
    static constexpr std::uint64_t SampleEvery = 100;

    struct Line {
        std::string_view event;
        std::vector<LogField> fields;
    };

    RequestTrace(std::string request, TimePoint arrivedAt, bool isSampled);

    /// Keeps a decision with the inputs that led to it.
    void add(TimePoint now, std::string_view event, std::initializer_list<LogField> fields);
    /// The same for a step that failed.
    void addFailure(TimePoint now, std::string_view event, std::initializer_list<LogField> fields);
    /// The request has ended. Returns the lines that are to be written; none if nobody needs them.
    std::vector<Line> end(bool hasRequestFailed);

private:
    const std::string request;
    const TimePoint arrivedAt;
    const bool isSampled;
    bool hasFailedStep = false;
    std::vector<Line> lines;
    std::size_t dropped = 0;
};

/// Whole milliseconds, for a field of a line.
std::string millisecondsText(Duration duration);

} // namespace peridotgrade
