// Waits of prefills as tokens.
#include "peridotgrade/core/serving/engine_backlog.h"

#include <algorithm>
#include <cmath>

namespace peridotgrade {

namespace {
    // An estimate older than this many time constants says nothing.
    constexpr int Expired = 5;
} // namespace

void EngineBacklog::record(
    const ServerRecord& server, std::uint32_t tokens, Duration cost, Duration took, TimePoint now)
{
    if (cost <= Duration::zero())
        return;
    double waitShare = std::chrono::duration<double>(took - cost) / std::chrono::duration<double>(cost);
    double waited = waitShare > MinWaitShare ? waitShare * tokens : 0;
    this->engines[server.id] = { server.startedAt, waited, now };
}

std::uint64_t EngineBacklog::tokensAt(const ServerRecord& server, TimePoint now) const
{
    auto found = this->engines.find(server.id);
    if (found == this->engines.end() || found->second.startedAt != server.startedAt)
        return 0;
    Duration age = now - found->second.measuredAt;
    if (age >= Lifetime * Expired)
        return 0;
    double left = std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(Lifetime));
    return static_cast<std::uint64_t>(std::llround(found->second.tokens * left));
}

} // namespace peridotgrade
