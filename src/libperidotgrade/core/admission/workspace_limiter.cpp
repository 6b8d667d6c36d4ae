// Refills and charges the token buckets of workspaces.
#include "peridotgrade/core/admission/workspace_limiter.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    // Burst size of an idle workspace, as time at its rate.
    constexpr std::chrono::duration<double> BurstTime { 2.0 };

    std::chrono::milliseconds timeToPay(double balance, double rate)
    {
        std::chrono::duration<double> wait { -balance / rate };
        return std::chrono::ceil<std::chrono::milliseconds>(wait) + std::chrono::milliseconds { 1 };
    }

} // namespace

void WorkspaceLimiter::setEntries(std::size_t count) { this->entries = std::max<std::size_t>(1, count); }

void WorkspaceLimiter::settle(Balance& balance, const Workspace& workspace, TimePoint now) const
{
    std::chrono::duration<double> passed = now - balance.settledAt;
    balance.settledAt = std::max(now, balance.settledAt);
    double requestRate = this->shareOf(workspace.requestsPerSecond);
    double tokenRate = this->shareOf(workspace.outputTokensPerSecond);
    double seconds = std::max(0.0, passed.count());
    balance.requests = std::min(balance.requests + requestRate * seconds, requestRate * BurstTime.count());
    balance.tokens = std::min(balance.tokens + tokenRate * seconds, tokenRate * BurstTime.count());
}

std::optional<std::chrono::milliseconds> WorkspaceLimiter::admit(
    const Workspace& workspace, std::uint32_t outputTokens, TimePoint now)
{
    bool limitsRequests = workspace.requestsPerSecond > 0;
    bool limitsTokens = workspace.outputTokensPerSecond > 0;
    if (!limitsRequests && !limitsTokens)
        return std::nullopt;
    auto [found, isNew] = this->balances.try_emplace(workspace.id);
    Balance& balance = found->second;
    if (isNew) {
        balance.requests = this->shareOf(workspace.requestsPerSecond) * BurstTime.count();
        balance.tokens = this->shareOf(workspace.outputTokensPerSecond) * BurstTime.count();
        balance.settledAt = now;
    }
    this->settle(balance, workspace, now);
    std::chrono::milliseconds wait { 0 };
    if (limitsRequests && balance.requests <= 0)
        wait = timeToPay(balance.requests, this->shareOf(workspace.requestsPerSecond));
    if (limitsTokens && balance.tokens <= 0)
        wait = std::max(wait, timeToPay(balance.tokens, this->shareOf(workspace.outputTokensPerSecond)));
    if (wait > std::chrono::milliseconds { 0 })
        return wait;
    balance.requests -= 1;
    balance.tokens -= outputTokens;
    return std::nullopt;
}

void WorkspaceLimiter::giveBack(const Workspace& workspace, std::uint32_t outputTokens)
{
    auto found = this->balances.find(workspace.id);
    if (found != this->balances.end())
        found->second.tokens += outputTokens;
}

} // namespace peridotgrade
