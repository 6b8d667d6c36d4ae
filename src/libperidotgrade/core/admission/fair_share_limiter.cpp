// Adapts the limits of pools and admits requests within guaranteed and lent shares.
#include "peridotgrade/core/admission/fair_share_limiter.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    // A workspace that sent a request within this time keeps its unused share; later the share is lent.
    constexpr Duration ActiveTime = std::chrono::seconds { 2 };
    constexpr Duration DecreaseInterval = std::chrono::milliseconds { 200 };
    constexpr double DecreaseFactor = 0.95;
    // The limit grows only while it is nearly used; otherwise it would grow without evidence of capacity.
    constexpr double NearlyUsedFraction = 0.9;
    constexpr double CompletionIntervalWeight = 0.1;
    constexpr std::chrono::milliseconds ShortestRetryAfter { 100 };
    constexpr std::chrono::milliseconds LongestRetryAfter { 10'000 };

    /// Fraction of the limit up to which requests of this priority may borrow unused shares.
    double usableFraction(Priority priority)
    {
        if (priority == Priority::Urgent)
            return 1.0;
        return priority == Priority::Normal ? 0.95 : 0.9;
    }

    Refusal refusalWithRetryAfter(Duration wait)
    {
        auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait);
        Refusal refusal;
        refusal.reason = RefusalReason::NoCapacity;
        refusal.retryAfter = std::clamp(milliseconds, ShortestRetryAfter, LongestRetryAfter);
        return refusal;
    }

} // namespace

bool FairShareLimiter::Usage::isActive(TimePoint now) const
{
    return now - this->lastRequestAt <= ActiveTime;
}

std::variant<AdmissionTicket, Refusal> FairShareLimiter::admit(
    const Workspace& workspace, const std::string& poolName, TimePoint now)
{
    Pool& pool = this->pools[poolName];
    Usage& usage = pool.usage[workspace.id];
    usage.lastRequestAt = now;
    usage.share = workspace.share;
    if (!this->hasRoom(pool, workspace, now))
        return refusalWithRetryAfter(pool.meanCompletionInterval);
    ++usage.inFlight;
    ++pool.inFlight;
    return AdmissionTicket { workspace.id, poolName };
}

bool FairShareLimiter::hasRoom(const Pool& pool, const Workspace& workspace, TimePoint now) const
{
    if (!pool.limit)
        return true;
    const Usage& usage = pool.usage.at(workspace.id);
    bool isWithinShare = usage.inFlight + 1 <= this->guaranteedShare(pool, usage, now);
    if (isWithinShare)
        return true;
    double room = *pool.limit * usableFraction(workspace.priority);
    return pool.inFlight + 1 + this->unusedGuarantees(pool, workspace.id, now) <= room;
}

double FairShareLimiter::guaranteedShare(const Pool& pool, const Usage& own, TimePoint now) const
{
    double sum = 0;
    for (const auto& [id, usage] : pool.usage)
        sum += usage.inFlight > 0 || usage.isActive(now) ? usage.share : 0;
    return sum > 0 ? *pool.limit * own.share / sum : 0;
}

double FairShareLimiter::unusedGuarantees(const Pool& pool, const WorkspaceId& excluded, TimePoint now) const
{
    double unused = 0;
    for (const auto& [id, usage] : pool.usage) {
        if (id == excluded || !usage.isActive(now))
            continue;
        unused += std::max(0.0, this->guaranteedShare(pool, usage, now) - usage.inFlight);
    }
    return unused;
}

void FairShareLimiter::finished(const AdmissionTicket& ticket, bool isRefusedForCapacity, TimePoint now)
{
    Pool& pool = this->pools[ticket.pool];
    Usage& usage = pool.usage[ticket.workspace];
    checkInvariant(usage.inFlight > 0 && pool.inFlight > 0, Invariant::InternalConsistency,
        "a request ended that was not admitted");
    --usage.inFlight;
    --pool.inFlight;
    this->updateLimit(pool, isRefusedForCapacity, now);
}

void FairShareLimiter::updateLimit(Pool& pool, bool isRefusedForCapacity, TimePoint now)
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
    auto interval = std::chrono::duration<double>(now - pool.lastFinished);
    auto mean = std::chrono::duration<double>(pool.meanCompletionInterval);
    pool.meanCompletionInterval
        = std::chrono::duration_cast<Duration>(mean + CompletionIntervalWeight * (interval - mean));
    pool.lastFinished = now;
    bool isNearlyUsed = pool.limit && pool.inFlight + 1 >= NearlyUsedFraction * *pool.limit;
    if (isNearlyUsed)
        *pool.limit += 1 / *pool.limit;
}

std::optional<double> FairShareLimiter::concurrencyLimit(const std::string& pool) const
{
    auto found = this->pools.find(pool);
    return found == this->pools.end() ? std::nullopt : found->second.limit;
}

} // namespace peridotgrade
