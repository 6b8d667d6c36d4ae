// Storage of waiting requests in serving order.
#include "peridotgrade/core/serving/deadline_queue.h"

#include "peridotgrade/core/base/invariant.h"

namespace peridotgrade {

void DeadlineQueue::add(const WaitingRequest& request)
{
    bool isNew = this->dueTimes.emplace(request.id, request.due).second;
    checkInvariant(isNew, Invariant::InternalConsistency, "a request is queued twice");
    this->order.emplace(Key { request.due, request.id }, request);
}

void DeadlineQueue::remove(RequestId id)
{
    auto found = this->dueTimes.find(id);
    if (found == this->dueTimes.end())
        return;
    this->order.erase(Key { found->second, id });
    this->dueTimes.erase(found);
}

std::vector<RequestId> DeadlineQueue::takeOverdue(TimePoint now)
{
    std::vector<RequestId> overdue;
    while (!this->order.empty() && this->order.begin()->first.due <= now) {
        overdue.push_back(this->order.begin()->first.id);
        this->remove(overdue.back());
    }
    return overdue;
}

std::optional<TimePoint> DeadlineQueue::firstDue() const
{
    if (this->order.empty())
        return std::nullopt;
    return this->order.begin()->first.due;
}

std::uint64_t DeadlineQueue::tokensAhead(const WaitingRequest& request) const
{
    std::uint64_t total = 0;
    for (const auto& [key, waiting] : this->order) {
        if (key.due >= request.due)
            break;
        total += waiting.tokens;
    }
    return total;
}

} // namespace peridotgrade
