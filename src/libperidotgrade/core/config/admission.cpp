// Implementation of admission.
#include "peridotgrade/core/config/admission.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    constexpr Duration Burst = std::chrono::seconds { 2 };
    // A workspace that asked within this time keeps its unused share; after it the share is lent.
    constexpr Duration ActiveTime = std::chrono::seconds { 2 };
    constexpr Duration DecreaseInterval = std::chrono::milliseconds { 200 };
    constexpr double DecreaseFactor = 0.95;
    // The limit grows only while it is nearly used, or it would say nothing.
    constexpr double NearlyUsed = 0.9;
    constexpr double EndsWeight = 0.1;
    constexpr std::chrono::milliseconds ShortestRetryAfter { 100 };
    constexpr std::chrono::milliseconds LongestRetryAfter { 10'000 };

    /// The part of the limit that borrowers of a priority may fill.
    double fillOf(Priority priority)
    {
        if (priority == Priority::Urgent)
            return 1.0;
        return priority == Priority::Normal ? 0.95 : 0.9;
    }

    Refusal refusalOf(RefusalReason reason, Duration wait)
    {
        auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait);
        Refusal refusal;
        refusal.reason = reason;
        refusal.retryAfter = std::clamp(milliseconds, ShortestRetryAfter, LongestRetryAfter);
        return refusal;
    }

    void setRate(std::optional<TokenBucket>& bucket, double ratePerSecond, TimePoint now)
    {
        if (ratePerSecond <= 0)
            bucket.reset();
        else if (bucket)
            bucket->changeRate(ratePerSecond, now);
        else
            bucket.emplace(ratePerSecond, Burst, now);
    }

} // namespace

void Admission::configure(const SiteConfiguration& configuration, std::uint32_t entryShards, TimePoint now)
{
    std::erase_if(
        this->workspaces, [&](const auto& each) { return !configuration.workspaces.contains(each.first); });
    double part = 1.0 / std::max<std::uint32_t>(entryShards, 1);
    for (const auto& [id, workspace] : configuration.workspaces) {
        Limits& limits = this->workspaces[id];
        limits.workspace = workspace;
        setRate(limits.requests, workspace.requestsPerSecond * part, now);
        setRate(limits.outputTokens, workspace.outputTokensPerSecond * part, now);
    }
}

std::optional<Refusal> Admission::rateRefusal(Limits& limits, TimePoint now)
{
    if (limits.requests && !limits.requests->hasAny(now))
        return refusalOf(RefusalReason::WorkspaceLimit, limits.requests->waitTime(now));
    if (limits.outputTokens && !limits.outputTokens->hasAny(now))
        return refusalOf(RefusalReason::WorkspaceLimit, limits.outputTokens->waitTime(now));
    return std::nullopt;
}

std::variant<AdmissionTicket, Refusal> Admission::admit(
    const WorkspaceId& workspace, const std::string& poolName, TimePoint now)
{
    auto known = this->workspaces.find(workspace);
    if (known == this->workspaces.end())
        return refusalOf(RefusalReason::WorkspaceLimit, LongestRetryAfter);
    Limits& limits = known->second;
    if (auto refusal = this->rateRefusal(limits, now))
        return *refusal;
    Pool& pool = this->pools[poolName];
    Usage& usage = pool.usage[workspace];
    usage.lastAsked = now;
    if (!this->hasRoom(pool, limits, now))
        return refusalOf(RefusalReason::NoCapacity, pool.timeBetweenEnds);
    if (limits.requests)
        limits.requests->take(1, now);
    ++usage.inFlight;
    ++pool.inFlight;
    return AdmissionTicket { workspace, poolName };
}

bool Admission::hasRoom(const Pool& pool, const Limits& limits, TimePoint now) const
{
    if (!pool.limit)
        return true;
    const Usage& usage = pool.usage.at(limits.workspace.id);
    bool isWithinShare = usage.inFlight + 1 <= this->sureShare(pool, limits.workspace.id, now);
    if (isWithinShare)
        return true;
    double room = *pool.limit * fillOf(limits.workspace.priority);
    return pool.inFlight + 1 + this->reservedPlaces(pool, limits.workspace.id, now) <= room;
}

double Admission::sureShare(const Pool& pool, const WorkspaceId& workspace, TimePoint now) const
{
    double sum = 0;
    double own = 0;
    for (const auto& [id, usage] : pool.usage) {
        auto limits = this->workspaces.find(id);
        bool isActive = usage.inFlight > 0 || now - usage.lastAsked <= ActiveTime;
        if (limits == this->workspaces.end() || !isActive)
            continue;
        sum += limits->second.workspace.share;
        own = id == workspace ? limits->second.workspace.share : own;
    }
    return sum > 0 ? *pool.limit * own / sum : 0;
}

double Admission::reservedPlaces(const Pool& pool, const WorkspaceId& except, TimePoint now) const
{
    double reserved = 0;
    for (const auto& [id, usage] : pool.usage) {
        bool isAsking = now - usage.lastAsked <= ActiveTime;
        if (id == except || !isAsking)
            continue;
        reserved += std::max(0.0, this->sureShare(pool, id, now) - usage.inFlight);
    }
    return reserved;
}

void Admission::finished(const AdmissionTicket& ticket, const AdmissionResult& result, TimePoint now)
{
    Pool& pool = this->pools[ticket.pool];
    Usage& usage = pool.usage[ticket.workspace];
    checkInvariant(usage.inFlight > 0 && pool.inFlight > 0, Invariant::InternalConsistency,
        "a request ended that was not let in");
    --usage.inFlight;
    --pool.inFlight;
    this->learn(pool, result, now);
    auto known = this->workspaces.find(ticket.workspace);
    if (known != this->workspaces.end() && known->second.outputTokens)
        known->second.outputTokens->take(result.outputTokens, now);
}

void Admission::learn(Pool& pool, const AdmissionResult& result, TimePoint now)
{
    if (result.isRefusedForCapacity) {
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

std::optional<double> Admission::learnedLimit(const std::string& pool) const
{
    auto found = this->pools.find(pool);
    return found == this->pools.end() ? std::nullopt : found->second.limit;
}

} // namespace peridotgrade
