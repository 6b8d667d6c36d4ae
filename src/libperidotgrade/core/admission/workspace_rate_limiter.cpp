// Refills and charges the token buckets of workspaces.
#include "peridotgrade/core/admission/workspace_rate_limiter.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    // Burst size of an idle workspace, as time at its rate.
    constexpr std::chrono::duration<double> BurstTime { 2.0 };

    std::chrono::milliseconds timeUntilPositive(const TokenBucket& bucket, const TokenRate& rate)
    {
        std::chrono::duration<double> wait { -bucket.tokens() / rate.perSecond };
        return std::chrono::ceil<std::chrono::milliseconds>(wait) + std::chrono::milliseconds { 1 };
    }

} // namespace

void WorkspaceRateLimiter::setEntryCount(std::size_t count)
{
    this->entries = std::max<std::size_t>(1, count);
}

TokenRate WorkspaceRateLimiter::entryShareOf(double rate) const
{
    double share = rate / static_cast<double>(this->entries);
    return { share, share * BurstTime.count() };
}

std::optional<std::chrono::milliseconds> WorkspaceRateLimiter::admit(
    const Workspace& workspace, std::uint32_t outputTokens, TimePoint now)
{
    bool limitsRequests = workspace.requestsPerSecond > 0;
    bool limitsTokens = workspace.outputTokensPerSecond > 0;
    if (!limitsRequests && !limitsTokens)
        return std::nullopt;
    TokenRate requestRate = this->entryShareOf(workspace.requestsPerSecond);
    TokenRate tokenRate = this->entryShareOf(workspace.outputTokensPerSecond);
    auto [found, isNew] = this->buckets.try_emplace(workspace.id);
    auto& [requests, tokens] = found->second;
    if (isNew) {
        requests = TokenBucket(requestRate.capacity, now);
        tokens = TokenBucket(tokenRate.capacity, now);
    }
    requests.refill(requestRate, now);
    tokens.refill(tokenRate, now);
    std::chrono::milliseconds wait { 0 };
    if (limitsRequests && requests.tokens() <= 0)
        wait = timeUntilPositive(requests, requestRate);
    if (limitsTokens && tokens.tokens() <= 0)
        wait = std::max(wait, timeUntilPositive(tokens, tokenRate));
    if (wait > std::chrono::milliseconds { 0 })
        return wait;
    requests.take(1);
    tokens.take(outputTokens);
    return std::nullopt;
}

void WorkspaceRateLimiter::refund(const Workspace& workspace, std::uint32_t outputTokens)
{
    auto found = this->buckets.find(workspace.id);
    if (found != this->buckets.end())
        found->second.tokens.add(outputTokens);
}

} // namespace peridotgrade
