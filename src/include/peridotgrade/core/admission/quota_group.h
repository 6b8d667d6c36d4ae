// Who holds the account of a tenant, and what share each entry has.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/tenant.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// The owners of the partitions of the entries' group, as the store last named them. A member's name is
/// `PLACE/INCARNATION`, with the same place after a restart.
///
/// A member that is no longer named may be cut off from the store and serve callers from its own share, so
/// that share is remembered until a process has started at its place again.
class QuotaGroup {
public:
    /// Members may hold no partition for a moment while partitions move.
    static constexpr std::chrono::seconds MissingTime { 2 };
    /// A machine that is gone for good is not waited for any longer.
    static constexpr std::chrono::seconds FormerTime { 60 };

    QuotaGroup() = default;
    /// `owners` has a name for each partition, empty if it has no owner now.
    explicit QuotaGroup(std::vector<std::string> owners);
    /// The group after the store has named these owners.
    QuotaGroup updated(std::vector<std::string> newOwners, TimePoint now) const;

    /// The partition that a tenant's account belongs to. `partitions` must not be 0.
    static std::uint32_t partitionOf(const TenantId& tenant, std::uint32_t partitions);

    /// The member that holds the account; nothing if the owner is not known.
    std::optional<std::string_view> holderOf(const TenantId& tenant) const;
    /// Part of the partitions that the member holds, 0 to 1.
    double shareOf(const std::string& member) const;
    /// Members of the same place and address as `member`, which are earlier processes there and have ended.
    std::vector<std::string> predecessorsOf(const std::string& member) const;
    /// True if both are processes of one place, so that at most the later one runs.
    static bool areOfOnePlace(std::string_view one, std::string_view other)
    {
        return placeOf(one) == placeOf(other);
    }
    const std::map<std::string, double>& shares() const { return this->members; }
    /// Sum of the last shares of members that are no longer named and may still serve callers, 0 to 1;
    /// without those that `isReached`.
    double formerShare(
        TimePoint now, const std::function<bool(const std::string& member)>& isReached = {}) const;
    /// Members that are no longer named and may still serve callers.
    std::vector<std::string> formerNames() const;

private:
    struct Former {
        double share = 0;
        TimePoint missingSince {};
    };

    static std::string_view placeOf(std::string_view member) { return member.substr(0, member.find('/')); }

    std::vector<std::string> owners;
    /// Invariant: the shares sum to at most 1.
    std::map<std::string, double> members;
    /// Invariant: no member at the place of one in `members`.
    std::map<std::string, Former> formerMembers;
};

} // namespace peridotgrade
