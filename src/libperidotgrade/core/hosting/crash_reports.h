// Crashes of the engine that sessions opened later still have to hear of.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/messages/stream_messages.h"

#include <deque>
#include <vector>

namespace peridotgrade {

/// An entry may lose its connection just when the engine crashes; without the report it would place the same
/// request again as if it were innocent. Memory is bounded by age and count.
class CrashReports {
public:
    void add(EngineCrashed report, TimePoint now);
    std::vector<EngineCrashed> recent(TimePoint now);

private:
    struct Report {
        TimePoint at;
        EngineCrashed message;
    };

    /// Oldest first.
    std::deque<Report> reports;
};

} // namespace peridotgrade
