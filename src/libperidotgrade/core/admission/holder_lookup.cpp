// Search for the holder of an account by an entry that may have left the group.
#include "peridotgrade/core/admission/holder_lookup.h"

namespace peridotgrade {

std::optional<std::string_view> HolderLookup::find(const QuotaGroup& group, bool isMember,
    std::optional<TimePoint> confirmedAt, bool isSilent, TimePoint now)
{
    auto holder = group.holderOf(this->tenant);
    if (isMember) {
        this->redirected.reset();
        return holder;
    }
    if (!confirmedAt || now - *confirmedAt >= LookupTime)
        return std::nullopt;
    if (!this->redirected) {
        bool isOther = holder && *holder != this->self;
        this->redirected
            = isOther ? std::optional { std::string { *holder } } : this->nextAfter(group, this->self);
        this->redirectedAt = now;
    } else if (isSilent && now - this->redirectedAt >= SilentInterval) {
        this->redirected = this->nextAfter(group, *this->redirected);
        this->redirectedAt = now;
    }
    return this->redirected;
}

bool HolderLookup::redirect(
    const QuotaGroup& group, const std::string& from, const std::string& named, TimePoint now)
{
    if (!this->redirected || now - this->redirectedAt < RedirectInterval)
        return false;
    // A datagram may only name members that the store has named.
    bool isUsable = group.shareOf(named) > 0 && named != from && named != this->self;
    this->redirected = isUsable ? std::optional { named } : this->nextAfter(group, from);
    this->redirectedAt = now;
    return this->redirected.has_value();
}

std::optional<std::string> HolderLookup::nextAfter(const QuotaGroup& group, std::string_view member) const
{
    const auto& shares = group.shares();
    auto next = shares.upper_bound(std::string { member });
    for (std::size_t tried = 0; tried < shares.size(); ++tried, ++next) {
        if (next == shares.end())
            next = shares.begin();
        if (next->first != this->self && next->first != member)
            return next->first;
    }
    return std::nullopt;
}

} // namespace peridotgrade
