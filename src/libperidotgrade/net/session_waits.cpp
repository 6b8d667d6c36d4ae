// Registration of waits, and their end.
#include "session_waits.h"

#include <utility>

namespace peridotgrade {

SessionWaits::Member::Member(SessionWaits& waits, std::function<void()> end)
    : waits(waits)
    , key([&] {
        std::lock_guard lock(waits.mutex);
        std::uint64_t next = ++waits.lastKey;
        waits.members[next] = std::move(end);
        return next;
    }())
{
}

SessionWaits::Member::~Member()
{
    std::lock_guard lock(this->waits.mutex);
    this->waits.members.erase(this->key);
}

void SessionWaits::endAll()
{
    std::lock_guard lock(this->mutex);
    for (auto& [key, end] : this->members) {
        if (auto call = std::exchange(end, nullptr))
            call();
    }
}

std::size_t SessionWaits::count() const
{
    std::lock_guard lock(this->mutex);
    return this->members.size();
}

} // namespace peridotgrade
