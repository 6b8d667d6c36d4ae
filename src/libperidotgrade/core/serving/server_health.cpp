// Implementation of the standing of backend servers.
#include "peridotgrade/core/serving/server_health.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    // Weight of the newest call: about ten calls decide.
    constexpr double NewestWeight = 0.1;
    // Doublings after which the longest ejection is reached anyway.
    constexpr std::uint32_t MostDoublings = 4;
} // namespace

void ServerHealth::record(const ServerId& server, ServerCallResult result, TimePoint now)
{
    Standing& standing = this->standings[server];
    double failed = result == ServerCallResult::Answered ? 0 : 1;
    standing.failures += NewestWeight * (failed - standing.failures);
    if (result == ServerCallResult::Superseded || result == ServerCallResult::Absent) {
        // By then the list has caught up: a crashed server is off it after three missed reports.
        standing.replacedUntil = now + LongestEjection;
        return;
    }
    if (result != ServerCallResult::Unreachable) {
        standing.unreachableInRow = 0;
        standing.ejectedUntil = {};
        return;
    }
    std::uint32_t doublings = std::min(standing.unreachableInRow++, MostDoublings);
    std::chrono::milliseconds ejection = FirstEjection * (1 << doublings);
    standing.ejectedUntil = now + std::min(ejection, LongestEjection);
}

bool ServerHealth::isEjected(const ServerId& server, TimePoint now) const
{
    auto found = this->standings.find(server);
    return found != this->standings.end()
        && now < std::max(found->second.ejectedUntil, found->second.replacedUntil);
}

bool ServerHealth::isReplaced(const ServerId& server, TimePoint now) const
{
    auto found = this->standings.find(server);
    return found != this->standings.end() && now < found->second.replacedUntil;
}

double ServerHealth::failureShare(const ServerId& server) const
{
    auto found = this->standings.find(server);
    return found == this->standings.end() ? 0 : found->second.failures;
}

} // namespace peridotgrade
