// Grants of tokens at the holder of an account.
#include "peridotgrade/core/admission/quota_account.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    // Shortest time until an entry asks again, so that it does not ask for every request: 40 a second.
    constexpr std::chrono::milliseconds MinRetryAfter { 25 };
    // Part of the burst that is granted only to requests that wait.
    constexpr double SparedShare = 0.5;
    // Rounding of sums of many small amounts.
    constexpr double Epsilon = 1e-6;
    // A member that has left the group is forgotten only after its last request cannot arrive any more.
    constexpr std::chrono::seconds FormerMemberTime { 10 };

} // namespace

QuotaAccount::QuotaAccount(const TenantQuota& quota, TimePoint now)
    : quota(quota)
    , bucket(StartShare * quota.burst, now)
    , currentRate(quota.perSecond)
{
}

void QuotaAccount::setQuota(const TenantQuota& newQuota, TimePoint now)
{
    this->bucket.refill({ this->currentRate, this->quota.burst }, now);
    this->quota = newQuota;
    this->bucket.limitTo(newQuota.burst);
    this->currentRate = std::min(this->currentRate, newQuota.perSecond);
}

std::optional<QuotaGrant> QuotaAccount::answer(
    const QuotaRequest& request, const QuotaGroup& group, TimePoint now)
{
    this->refill(group, now);
    auto [found, isNew] = this->members.try_emplace(request.member);
    Member& member = found->second;
    if (!isNew && request.requestId < member.lastId)
        return std::nullopt;
    member.heardAt = now;
    if (!isNew && request.requestId == member.lastId)
        return member.lastGrant;
    if (isNew) {
        this->deductReport(request.recentlyUsed);
        this->removeFormerMembers(group, now);
    }
    member.lastId = request.requestId;
    member.isActive = request.tokens > 0;
    this->bucket.add(request.returned);
    this->bucket.limitTo(this->quota.burst);
    member.lastGrant = QuotaGrant { request.requestId, request.tenant, 0, {}, true };
    this->grant(request, member.lastGrant);
    return member.lastGrant;
}

void QuotaAccount::refill(const QuotaGroup& group, TimePoint now)
{
    double silentShare = 0;
    for (const auto& [name, member] : this->members) {
        if (member.isActive && now - member.heardAt > SilenceTime)
            silentShare += group.shareOf(name);
    }
    // A former member that still asks here uses what it is granted, and its own share only once it gets no
    // answer.
    auto isReached = [&](const std::string& name) {
        auto found = this->members.find(name);
        return found != this->members.end() && now - found->second.heardAt <= SilenceTime;
    };
    double left = std::min(OwnShare * silentShare + group.formerShare(now, isReached), 1.0);
    this->currentRate = this->quota.perSecond * (1 - left);
    this->bucket.refill({ this->currentRate, this->quota.burst }, now);
}

void QuotaAccount::deductReport(double recentlyUsed)
{
    double amount
        = std::clamp(recentlyUsed, 0.0, std::max(StartShare * this->quota.burst - this->deducted, 0.0));
    this->deducted += amount;
    this->bucket.take(amount);
}

void QuotaAccount::grant(const QuotaRequest& request, QuotaGrant& grant)
{
    if (request.tokens <= 0)
        return;
    double needed = std::min(request.needed, request.tokens);
    // A request larger than the bucket would never be served, so a full bucket may be overdrawn by any.
    double threshold = std::min(needed - OverdraftShare * this->quota.burst, this->quota.burst);
    double missing = threshold - this->bucket.tokens();
    if (missing > Epsilon) {
        auto wait = TokenBucket::timeToGain(missing, this->currentRate);
        grant.retryAfter = std::max(std::chrono::ceil<std::chrono::milliseconds>(wait), MinRetryAfter);
        return;
    }
    double left = this->bucket.tokens();
    grant.tokens = std::max(needed, std::min(std::min(request.waiting, request.tokens), left));
    // Tokens that lie unused at entries must not be missing for requests elsewhere.
    double spare = std::max(left - grant.tokens - SparedShare * this->quota.burst, 0.0);
    grant.tokens += std::min(spare, std::max(request.tokens - grant.tokens, 0.0));
    this->bucket.take(grant.tokens);
}

void QuotaAccount::removeFormerMembers(const QuotaGroup& group, TimePoint now)
{
    std::erase_if(this->members, [&](const auto& each) {
        return group.shareOf(each.first) <= 0 && now - each.second.heardAt > FormerMemberTime;
    });
}

} // namespace peridotgrade
