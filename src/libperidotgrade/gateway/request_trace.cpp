// Keeping of the lines of a request.
#include "peridotgrade/gateway/request_trace.h"

#include <utility>

namespace peridotgrade {

RequestTrace::RequestTrace(std::string request, TimePoint arrivedAt, bool isSampled)
    : request(std::move(request))
    , arrivedAt(arrivedAt)
    , isSampled(isSampled)
{
}

void RequestTrace::add(TimePoint now, std::string_view event, std::initializer_list<LogField> fields)
{
    if (this->lines.size() >= MaxLines) {
        ++this->dropped;
        return;
    }
    Line line { event,
        { { "request", this->request }, { "at_ms", millisecondsText(now - this->arrivedAt) } } };
    line.fields.insert(line.fields.end(), fields.begin(), fields.end());
    this->lines.push_back(std::move(line));
}

void RequestTrace::addFailure(TimePoint now, std::string_view event, std::initializer_list<LogField> fields)
{
    this->hasFailedStep = true;
    this->add(now, event, fields);
}

std::vector<RequestTrace::Line> RequestTrace::end(bool hasRequestFailed)
{
    auto written = std::exchange(this->lines, {});
    if (!hasRequestFailed && !this->hasFailedStep && !this->isSampled)
        return {};
    if (this->dropped > 0)
        written.push_back({ "steps_dropped",
            { { "request", this->request }, { "count", std::to_string(this->dropped) } } });
    return written;
}

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace peridotgrade
