// Storage of waiting requests in serving order.
#include "peridotgrade/core/serving/deadline_queue.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotgrade {

DeadlineQueue::Key DeadlineQueue::keyOf(const WaitingRequest& request)
{
    std::uint8_t turn = request.isLate ? 2 : 1;
    return { request.priority, request.goesFirst ? std::uint8_t { 0 } : turn, request.due, request.id };
}

void DeadlineQueue::add(const WaitingRequest& request)
{
    bool isNew = this->keys.emplace(request.id, keyOf(request)).second;
    checkInvariant(isNew, Invariant::InternalConsistency, "a request is queued twice");
    this->order.emplace(keyOf(request), request);
}

void DeadlineQueue::remove(RequestId id)
{
    auto found = this->keys.find(id);
    if (found == this->keys.end())
        return;
    this->order.erase(found->second);
    this->keys.erase(found);
}

const WaitingRequest* DeadlineQueue::find(RequestId id) const
{
    auto found = this->keys.find(id);
    return found == this->keys.end() ? nullptr : &this->order.at(found->second);
}

std::vector<WaitingRequest> DeadlineQueue::takeOverdue(TimePoint now)
{
    std::vector<WaitingRequest> overdue;
    for (const auto& [key, request] : this->order) {
        if (request.due <= now)
            overdue.push_back(request);
    }
    std::sort(overdue.begin(), overdue.end(), [](const WaitingRequest& one, const WaitingRequest& other) {
        return std::tie(one.due, one.id) < std::tie(other.due, other.id);
    });
    for (const WaitingRequest& request : overdue)
        this->remove(request.id);
    return overdue;
}

std::vector<WaitingRequest> DeadlineQueue::takeLate(TimePoint now)
{
    auto isLate
        = [now](const WaitingRequest& request) { return request.onTimeUntil && *request.onTimeUntil <= now; };
    // The order starts with the most urgent, so this is the most urgent one that may be on time.
    auto rival = std::find_if(this->order.begin(), this->order.end(),
        [&](const auto& each) { return !each.second.isLate && !isLate(each.second); });
    std::vector<WaitingRequest> late;
    if (rival == this->order.end())
        return late;
    for (const auto& [key, request] : this->order) {
        if (isLate(request) && request.priority >= rival->second.priority)
            late.push_back(request);
    }
    for (const WaitingRequest& request : late)
        this->remove(request.id);
    return late;
}

std::optional<TimePoint> DeadlineQueue::firstDue(TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const auto& [key, request] : this->order) {
        TimePoint due = request.due;
        if (this->order.size() > 1 && request.onTimeUntil && *request.onTimeUntil > now)
            due = std::min(due, *request.onTimeUntil);
        first = first ? std::min(*first, due) : due;
    }
    return first;
}

std::uint64_t DeadlineQueue::tokensAhead(const WaitingRequest& request) const
{
    Key own = keyOf(request);
    std::uint64_t total = 0;
    for (const auto& [key, waiting] : this->order) {
        // Those of the same due time are not counted, in whichever order they arrived.
        if (std::tie(key.priority, key.turn, key.due) >= std::tie(own.priority, own.turn, own.due))
            break;
        total += waiting.tokens;
    }
    return total;
}

} // namespace peridotgrade
