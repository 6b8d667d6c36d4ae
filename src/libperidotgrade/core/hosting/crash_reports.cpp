// Retention of recent crash reports.
#include "crash_reports.h"

#include <utility>

namespace peridotgrade {

namespace {
    // Long enough for an entry to reconnect.
    constexpr std::chrono::seconds MaxReportAge { 10 };
    constexpr std::size_t MaxReportCount = 8;
} // namespace

void CrashReports::add(EngineCrashed report, TimePoint now)
{
    this->reports.push_back({ now, std::move(report) });
    if (this->reports.size() > MaxReportCount)
        this->reports.pop_front();
}

std::vector<EngineCrashed> CrashReports::recent(TimePoint now)
{
    while (!this->reports.empty() && this->reports.front().at + MaxReportAge < now)
        this->reports.pop_front();
    std::vector<EngineCrashed> messages;
    for (const Report& report : this->reports)
        messages.push_back(report.message);
    return messages;
}

} // namespace peridotgrade
