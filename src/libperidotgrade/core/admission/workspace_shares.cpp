// Adapts the limits of pools and admits requests within guaranteed and lent shares.
#include "peridotgrade/core/admission/workspace_shares.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    // A workspace that sent a request within this time keeps its unused share; later the share is lent.
    constexpr Duration ActiveTime = std::chrono::seconds { 2 };
    constexpr Duration DecreaseInterval = std::chrono::milliseconds { 200 };
    constexpr double DecreaseFactor = 0.95;
    // The limit grows only while it is nearly used; otherwise it would grow without evidence of capacity.
    constexpr double NearlyUsed = 0.9;
    constexpr double EndsWeight = 0.1;
    constexpr std::chrono::milliseconds ShortestRetryAfter { 100 };
    constexpr std::chrono::milliseconds LongestRetryAfter { 10'000 };

    /// Fraction of the limit up to which requests of this priority may borrow unused shares.
    double fillOf(Priority priority)
    {
        if (priority == Priority::Urgent)
            return 1.0;
        return priority == Priority::Normal ? 0.95 : 0.9;
    }

    Refusal refusalAfter(Duration wait)
    {
        auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait);
        Refusal refusal;
        refusal.reason = RefusalReason::NoCapacity;
        refusal.retryAfter = std::clamp(milliseconds, ShortestRetryAfter, LongestRetryAfter);
        return refusal;
    }

} // namespace

bool WorkspaceShares::Usage::isAsking(TimePoint now) const { return now - this->lastAsked <= ActiveTime; }

std::variant<ShareTicket, Refusal> WorkspaceShares::admit(
    const Workspace& workspace, const std::string& poolName, TimePoint now)
{
    Pool& pool = this->pools[poolName];
    Usage& usage = pool.usage[workspace.id];
    usage.lastAsked = now;
    usage.share = workspace.share;
    if (!this->hasRoom(pool, workspace, now))
        return refusalAfter(pool.timeBetweenEnds);
    ++usage.inFlight;
    ++pool.inFlight;
    return ShareTicket { workspace.id, poolName };
}

bool WorkspaceShares::hasRoom(const Pool& pool, const Workspace& workspace, TimePoint now) const
{
    if (!pool.limit)
        return true;
    const Usage& usage = pool.usage.at(workspace.id);
    bool isWithinShare = usage.inFlight + 1 <= this->sureShare(pool, usage, now);
    if (isWithinShare)
        return true;
    double room = *pool.limit * fillOf(workspace.priority);
    return pool.inFlight + 1 + this->reservedPlaces(pool, workspace.id, now) <= room;
}

double WorkspaceShares::sureShare(const Pool& pool, const Usage& own, TimePoint now) const
{
    double sum = 0;
    for (const auto& [id, usage] : pool.usage)
        sum += usage.inFlight > 0 || usage.isAsking(now) ? usage.share : 0;
    return sum > 0 ? *pool.limit * own.share / sum : 0;
}

double WorkspaceShares::reservedPlaces(const Pool& pool, const WorkspaceId& except, TimePoint now) const
{
    double reserved = 0;
    for (const auto& [id, usage] : pool.usage) {
        if (id == except || !usage.isAsking(now))
            continue;
        reserved += std::max(0.0, this->sureShare(pool, usage, now) - usage.inFlight);
    }
    return reserved;
}

void WorkspaceShares::finished(const ShareTicket& ticket, bool isRefusedForCapacity, TimePoint now)
{
    Pool& pool = this->pools[ticket.pool];
    Usage& usage = pool.usage[ticket.workspace];
    checkInvariant(usage.inFlight > 0 && pool.inFlight > 0, Invariant::InternalConsistency,
        "a request ended that was not admitted");
    --usage.inFlight;
    --pool.inFlight;
    this->learn(pool, isRefusedForCapacity, now);
}

void WorkspaceShares::learn(Pool& pool, bool isRefusedForCapacity, TimePoint now)
{
    if (isRefusedForCapacity) {
        // A refusal with nothing else in flight says nothing about the limit: engines are missing or the
        // request is too large.
        if (pool.inFlight == 0)
            return;
        bool isTooSoon = pool.limit && now - pool.lastDecrease < DecreaseInterval;
        if (isTooSoon)
            return;
        pool.lastDecrease = now;
        double used = pool.inFlight;
        double limit = pool.limit ? *pool.limit * DecreaseFactor : used;
        pool.limit = std::max(1.0, limit);
        return;
    }
    auto between = std::chrono::duration<double>(now - pool.lastFinished);
    auto mean = std::chrono::duration<double>(pool.timeBetweenEnds);
    pool.timeBetweenEnds = std::chrono::duration_cast<Duration>(mean + EndsWeight * (between - mean));
    pool.lastFinished = now;
    bool isNearlyUsed = pool.limit && pool.inFlight + 1 >= NearlyUsed * *pool.limit;
    if (isNearlyUsed)
        *pool.limit += 1 / *pool.limit;
}

std::optional<double> WorkspaceShares::learnedLimit(const std::string& pool) const
{
    auto found = this->pools.find(pool);
    return found == this->pools.end() ? std::nullopt : found->second.limit;
}

} // namespace peridotgrade
