// Maps tenants to partitions and partitions to members.
#include "peridotgrade/core/admission/quota_group.h"

#include <xxhash.h>

#include <algorithm>

namespace peridotgrade {

QuotaGroup::QuotaGroup(std::vector<std::string> owners)
    : owners(std::move(owners))
{
    for (const std::string& owner : this->owners) {
        if (!owner.empty())
            this->members[owner] += 1.0 / static_cast<double>(this->owners.size());
    }
}

QuotaGroup QuotaGroup::updated(std::vector<std::string> newOwners, TimePoint now) const
{
    QuotaGroup next(std::move(newOwners));
    next.formerMembers = this->formerMembers;
    for (const auto& [name, share] : this->members)
        next.formerMembers[name] = { share, now };
    std::erase_if(next.formerMembers, [&](const auto& former) {
        bool isBack = std::any_of(next.members.begin(), next.members.end(),
            [&](const auto& member) { return placeOf(member.first) == placeOf(former.first); });
        return isBack || now - former.second.missingSince >= FormerTime;
    });
    return next;
}

double QuotaGroup::formerShare(
    TimePoint now, const std::function<bool(const std::string& member)>& isReached) const
{
    double share = 0;
    for (const auto& [name, former] : this->formerMembers) {
        Duration missing = now - former.missingSince;
        bool isMissing = missing >= MissingTime && missing < FormerTime;
        share += isMissing && !(isReached && isReached(name)) ? former.share : 0;
    }
    return std::min(share, 1.0);
}

std::vector<std::string> QuotaGroup::formerNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, former] : this->formerMembers)
        names.push_back(name);
    return names;
}

std::uint32_t QuotaGroup::partitionOf(const TenantId& tenant, std::uint32_t partitions)
{
    return static_cast<std::uint32_t>(XXH3_64bits(tenant.raw().data(), tenant.raw().size()) % partitions);
}

std::optional<std::string_view> QuotaGroup::holderOf(const TenantId& tenant) const
{
    if (this->owners.empty())
        return std::nullopt;
    const std::string& owner
        = this->owners[partitionOf(tenant, static_cast<std::uint32_t>(this->owners.size()))];
    return owner.empty() ? std::nullopt : std::optional<std::string_view> { owner };
}

std::vector<std::string> QuotaGroup::predecessorsOf(const std::string& member) const
{
    auto addressOf = [](std::string_view name) {
        std::size_t at = name.rfind('@');
        return at == std::string_view::npos ? std::string_view {} : name.substr(at);
    };
    std::vector<std::string> predecessors;
    for (const auto& [name, share] : this->members) {
        // A machine that has replaced another one under its name has another address.
        bool isSamePlace = areOfOnePlace(name, member) && addressOf(name) == addressOf(member);
        if (isSamePlace && name != member && !addressOf(name).empty())
            predecessors.push_back(name);
    }
    return predecessors;
}

double QuotaGroup::shareOf(const std::string& member) const
{
    auto found = this->members.find(member);
    return found == this->members.end() ? 0 : found->second;
}

} // namespace peridotgrade
