// Refills and charges the token buckets of workspaces.
#include "peridotgrade/core/admission/workspace_rate_limiter.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    // Burst size of an idle workspace, as time at its rate.
    constexpr std::chrono::duration<double> BurstTime { 2.0 };

    std::chrono::milliseconds timeUntilPositive(double balance, double rate)
    {
        std::chrono::duration<double> wait { -balance / rate };
        return std::chrono::ceil<std::chrono::milliseconds>(wait) + std::chrono::milliseconds { 1 };
    }

} // namespace

void WorkspaceRateLimiter::setEntryCount(std::size_t count)
{
    this->entries = std::max<std::size_t>(1, count);
}

void WorkspaceRateLimiter::refill(Bucket& bucket, const Workspace& workspace, TimePoint now) const
{
    std::chrono::duration<double> passed = now - bucket.refilledAt;
    bucket.refilledAt = std::max(now, bucket.refilledAt);
    double requestRate = this->entryShareOf(workspace.requestsPerSecond);
    double tokenRate = this->entryShareOf(workspace.outputTokensPerSecond);
    double seconds = std::max(0.0, passed.count());
    bucket.requests = std::min(bucket.requests + requestRate * seconds, requestRate * BurstTime.count());
    bucket.tokens = std::min(bucket.tokens + tokenRate * seconds, tokenRate * BurstTime.count());
}

std::optional<std::chrono::milliseconds> WorkspaceRateLimiter::admit(
    const Workspace& workspace, std::uint32_t outputTokens, TimePoint now)
{
    bool limitsRequests = workspace.requestsPerSecond > 0;
    bool limitsTokens = workspace.outputTokensPerSecond > 0;
    if (!limitsRequests && !limitsTokens)
        return std::nullopt;
    auto [found, isNew] = this->buckets.try_emplace(workspace.id);
    Bucket& bucket = found->second;
    if (isNew) {
        bucket.requests = this->entryShareOf(workspace.requestsPerSecond) * BurstTime.count();
        bucket.tokens = this->entryShareOf(workspace.outputTokensPerSecond) * BurstTime.count();
        bucket.refilledAt = now;
    }
    this->refill(bucket, workspace, now);
    std::chrono::milliseconds wait { 0 };
    if (limitsRequests && bucket.requests <= 0)
        wait = timeUntilPositive(bucket.requests, this->entryShareOf(workspace.requestsPerSecond));
    if (limitsTokens && bucket.tokens <= 0)
        wait = std::max(
            wait, timeUntilPositive(bucket.tokens, this->entryShareOf(workspace.outputTokensPerSecond)));
    if (wait > std::chrono::milliseconds { 0 })
        return wait;
    bucket.requests -= 1;
    bucket.tokens -= outputTokens;
    return std::nullopt;
}

void WorkspaceRateLimiter::refund(const Workspace& workspace, std::uint32_t outputTokens)
{
    auto found = this->buckets.find(workspace.id);
    if (found != this->buckets.end())
        found->second.tokens += outputTokens;
}

} // namespace peridotgrade
