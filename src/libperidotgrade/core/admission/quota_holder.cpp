// Keeps accounts only as long as no other entry can hold them.
#include "peridotgrade/core/admission/quota_holder.h"

namespace peridotgrade {

void QuotaHolder::setConfiguration(std::shared_ptr<const RoutingConfiguration> newConfiguration)
{
    if (newConfiguration == this->configuration)
        return;
    this->configuration = std::move(newConfiguration);
    this->quotas.clear();
    for (const Tenant& tenant : this->configuration->tenants) {
        if (tenant.quota)
            this->quotas[tenant.name] = &*tenant.quota;
    }
    std::erase_if(this->accounts, [&](const auto& each) { return !this->quotas.contains(each.first); });
}

void QuotaHolder::confirm(const QuotaMembership& confirmation)
{
    // After two steps of the generation a partition may have been elsewhere in between.
    bool isContinuous = this->membership
        && confirmation.confirmedAt - this->membership->confirmedAt < MembershipLifetime
        && confirmation.generation >= this->membership->generation
        && confirmation.generation - this->membership->generation <= 1;
    this->membership = confirmation;
    std::erase_if(this->accounts, [&](const auto& each) {
        return !isContinuous || !this->holds(each.first, confirmation.confirmedAt);
    });
}

bool QuotaHolder::isMember(TimePoint now) const
{
    return this->membership && now - this->membership->confirmedAt < MembershipLifetime;
}

bool QuotaHolder::holds(const TenantId& tenant, TimePoint now) const
{
    if (!this->isMember(now) || this->membership->held.total == 0)
        return false;
    std::uint32_t partition = QuotaGroup::partitionOf(tenant, this->membership->held.total);
    return this->membership->held.numbers.contains(partition);
}

std::optional<QuotaGrant> QuotaHolder::answer(const QuotaRequest& request, TimePoint now)
{
    QuotaGrant refusal { request.requestId, request.tenant, 0, {}, false };
    if (!this->holds(request.tenant, now) || !this->configuration || this->group == nullptr) {
        if (this->group != nullptr && this->isMember(now))
            refusal.holder = this->group->holderOf(request.tenant).value_or("");
        return refusal;
    }
    auto quota = this->quotas.find(request.tenant);
    if (quota == this->quotas.end()) {
        // The tenant has no limit any more, or is one of a newer configuration that has not arrived here.
        bool isKnown = this->configuration->version.raw() >= request.configVersion;
        return isKnown ? QuotaGrant { request.requestId, request.tenant, request.tokens, {}, true } : refusal;
    }
    auto [account, isNew] = this->accounts.try_emplace(request.tenant, *quota->second, now);
    if (!isNew)
        account->second.setQuota(*quota->second, now);
    return account->second.answer(request, *this->group, now);
}

} // namespace peridotgrade
