// Medians of recent times to the first event and of recent waits for prefills.
#include "peridotgrade/core/serving/first_event_time.h"

#include <algorithm>
#include <vector>

namespace peridotgrade {

void FirstEventTime::push(std::deque<Measured>& items, Measured item)
{
    items.push_back(item);
    if (items.size() > MaxTimes)
        items.pop_front();
}

void FirstEventTime::recordPrefill(TimePoint now, Duration took, Duration cost)
{
    push(this->prefills, { now, took, std::max(took - cost, Duration::zero()) });
}

std::optional<Duration> FirstEventTime::medianOf(
    const std::deque<Measured>& items, Duration Measured::*member, std::size_t count, TimePoint now)
{
    std::vector<Duration> recent;
    for (auto each = items.rbegin(); each != items.rend() && recent.size() < count; ++each) {
        if (each->at + MaxAge > now)
            recent.push_back((*each).*member);
    }
    if (recent.size() < MinTimes)
        return std::nullopt;
    auto middle = recent.begin() + static_cast<std::ptrdiff_t>(recent.size() / 2);
    std::nth_element(recent.begin(), middle, recent.end());
    return *middle;
}

std::optional<Duration> FirstEventTime::median(TimePoint now) const
{
    return medianOf(this->times, &Measured::took, MaxTimes, now);
}

std::optional<Duration> FirstEventTime::expected(TimePoint now, std::optional<Duration> cost) const
{
    auto total = this->median(now);
    auto prefill = medianOf(this->prefills, &Measured::took, MaxTimes, now);
    auto wait = medianOf(this->prefills, &Measured::wait, PresentPrefills, now);
    if (!total || !prefill || !wait || !cost)
        return total;
    return *cost + *wait + std::max(*total - *prefill, Duration::zero());
}

} // namespace peridotgrade
