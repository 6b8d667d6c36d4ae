// Times that servers have asked for.
#include "peridotgrade/core/serving/server_backoff.h"

#include <algorithm>

namespace peridotgrade {

void ServerBackoff::note(const ServerRecord& server, Duration time, TimePoint now)
{
    Backoff& backoff = this->servers[server.id];
    if (backoff.startedAt != server.startedAt)
        backoff = { server.startedAt, now };
    backoff.until = std::max(backoff.until, now + std::min<Duration>(time, MaxTime));
}

std::optional<TimePoint> ServerBackoff::until(const ServerRecord& server, TimePoint now) const
{
    auto found = this->servers.find(server.id);
    bool isBusy = found != this->servers.end() && found->second.startedAt == server.startedAt
        && now < found->second.until;
    return isBusy ? std::optional { found->second.until } : std::nullopt;
}

std::optional<TimePoint> ServerBackoff::untilOfAll(
    const std::vector<const ServerRecord*>& all, TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const ServerRecord* server : all) {
        auto each = this->until(*server, now);
        if (!each)
            return std::nullopt;
        first = first ? std::min(*first, *each) : *each;
    }
    return first;
}

} // namespace peridotgrade
