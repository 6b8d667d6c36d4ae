// Keeps the subscriptions in a queue ordered by due time.
#include "peridotgrade/core/base/timer_service.h"

namespace peridotgrade {

TimerService::TimerService(TimePoint start)
    : current(start)
{
}

TimerId TimerService::subscribeAt(TimePoint due, Callback callback)
{
    TimerId id { ++this->lastId };
    auto position = this->queue.emplace(due, Subscription { id, std::move(callback) });
    this->byId.emplace(id, position);
    return id;
}

TimerId TimerService::subscribeAfter(Duration delay, Callback callback)
{
    return this->subscribeAt(this->current + delay, std::move(callback));
}

void TimerService::cancel(TimerId id)
{
    auto found = this->byId.find(id);
    if (found == this->byId.end())
        return;
    this->queue.erase(found->second);
    this->byId.erase(found);
}

void TimerService::advance(TimePoint now)
{
    while (!this->queue.empty() && this->queue.begin()->first <= now) {
        auto first = this->queue.begin();
        if (this->current < first->first)
            this->current = first->first;
        Subscription subscription = std::move(first->second);
        this->queue.erase(first);
        this->byId.erase(subscription.id);
        subscription.callback();
    }
    if (this->current < now)
        this->current = now;
}

std::optional<TimePoint> TimerService::nextDue() const
{
    if (this->queue.empty())
        return std::nullopt;
    return this->queue.begin()->first;
}

} // namespace peridotgrade
