// Which entry is asked for the tokens of a tenant.
#pragma once

#include "peridotgrade/core/admission/quota_group.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/tenant.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace peridotgrade {

/// Finds the member that holds a tenant's account. A member of the group reads the owners from the store. An
/// entry whose membership has ended, since it does not reach the store, may still reach other entries: it
/// asks the holder that it last knew, and whoever is not the holder names it. Only the holder grants tokens,
/// so a wrong answer costs time and no tokens. Not thread safe.
class HolderLookup {
public:
    /// A member that is no longer named by the store is answered for this long by the others.
    static constexpr std::chrono::seconds LookupTime = QuotaGroup::FormerTime;
    static constexpr std::chrono::milliseconds RedirectInterval { 100 };
    /// A member that does not answer is given up for the next one after this time.
    static constexpr std::chrono::seconds SilentInterval { 1 };

    HolderLookup(TenantId tenant, std::string self)
        : tenant(std::move(tenant))
        , self(std::move(self))
    {
    }

    /// The member to ask; nothing if there is none. `confirmedAt` is when the membership was last confirmed,
    /// and `isSilent` that the member named before does not answer.
    std::optional<std::string_view> find(const QuotaGroup& group, bool isMember,
        std::optional<TimePoint> confirmedAt, bool isSilent, TimePoint now);
    /// `from` is not the holder and may have named who is. Returns true if `find` names another member now;
    /// that is at most every `RedirectInterval`.
    bool redirect(const QuotaGroup& group, const std::string& from, const std::string& named, TimePoint now);

private:
    /// The member after that one, without this entry; nothing if there is none.
    std::optional<std::string> nextAfter(const QuotaGroup& group, std::string_view member) const;

    const TenantId tenant;
    const std::string self;
    /// In place of the holder by the group. Only while this entry is no member.
    std::optional<std::string> redirected;
    TimePoint redirectedAt {};
};

} // namespace peridotgrade
