// Failure average and ejection of backend servers.
#include "peridotgrade/core/serving/server_health.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    // Weight of the newest call; about ten calls determine the average.
    constexpr double NewestWeight = 0.1;
    // `MaxEjectionTime` is reached within this many doublings.
    constexpr std::uint32_t MaxDoublings = 4;
} // namespace

void ServerHealth::record(const ServerId& server, ServerCallResult result, TimePoint now)
{
    Health& health = this->servers[server];
    double failed = result == ServerCallResult::Answered ? 0 : 1;
    health.failures += NewestWeight * (failed - health.failures);
    if (result == ServerCallResult::Superseded || result == ServerCallResult::Absent) {
        // By then the list has caught up: a crashed server is removed from it after three missed reports.
        health.replacedUntil = now + MaxEjectionTime;
        return;
    }
    if (result != ServerCallResult::Unreachable) {
        health.consecutiveUnreachable = 0;
        health.ejectedUntil = {};
        return;
    }
    std::uint32_t doublings = std::min(health.consecutiveUnreachable++, MaxDoublings);
    std::chrono::milliseconds ejection = BaseEjectionTime * (1 << doublings);
    health.ejectedUntil = now + std::min(ejection, MaxEjectionTime);
}

bool ServerHealth::isEjected(const ServerId& server, TimePoint now) const
{
    auto found = this->servers.find(server);
    return found != this->servers.end()
        && now < std::max(found->second.ejectedUntil, found->second.replacedUntil);
}

bool ServerHealth::isReplaced(const ServerId& server, TimePoint now) const
{
    auto found = this->servers.find(server);
    return found != this->servers.end() && now < found->second.replacedUntil;
}

double ServerHealth::failureShare(const ServerId& server) const
{
    auto found = this->servers.find(server);
    return found == this->servers.end() ? 0 : found->second.failures;
}

} // namespace peridotgrade
