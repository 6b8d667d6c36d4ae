// Recent engine crashes, replayed to sessions that are opened afterwards.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/messages/stream_messages.h"

#include <deque>
#include <vector>

namespace peridotgrade {

/// An entry may lose its connection at the moment of an engine crash. Without the report it would retry the
/// request that may have caused the crash as an ordinary one. Reports are bounded by age and count.
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
