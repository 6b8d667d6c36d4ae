// Implementation of the line of waiting requests.
#include "peridotgrade/core/serving/waiting_line.h"

#include "peridotgrade/core/base/invariant.h"

namespace peridotgrade {

void WaitingLine::add(const WaitingRequest& request)
{
    bool isNew = this->requests.emplace(request.id, request).second;
    checkInvariant(isNew, Invariant::InternalConsistency, "a request waits twice");
    this->order.insert(keyOf(request));
}

void WaitingLine::remove(RequestId id)
{
    auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    this->order.erase(keyOf(found->second));
    this->requests.erase(found);
}

std::vector<RequestId> WaitingLine::takeOverdue(TimePoint now)
{
    std::vector<RequestId> overdue;
    while (!this->order.empty() && this->order.begin()->due <= now) {
        overdue.push_back(this->order.begin()->id);
        this->remove(overdue.back());
    }
    return overdue;
}

WaitingLine::Key WaitingLine::keyOf(const WaitingRequest& request)
{
    return Key { request.due, request.id };
}

std::vector<WaitingRequest> WaitingLine::inOrder() const
{
    std::vector<WaitingRequest> result;
    for (const Key& key : this->order)
        result.push_back(this->requests.at(key.id));
    return result;
}

std::uint64_t WaitingLine::tokensBefore(const WaitingRequest& request) const
{
    Key own = keyOf(request);
    std::uint64_t total = 0;
    for (const Key& key : this->order) {
        if (key.due >= own.due)
            break;
        total += this->requests.at(key.id).tokens;
    }
    return total;
}

} // namespace peridotgrade
