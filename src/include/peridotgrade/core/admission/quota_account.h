// The account of one tenant, at the entry that holds it.
#pragma once

#include "peridotgrade/core/admission/quota_grant.h"
#include "peridotgrade/core/admission/quota_group.h"
#include "peridotgrade/core/admission/quota_request.h"
#include "peridotgrade/core/admission/token_bucket.h"

#include <map>
#include <optional>
#include <string>

namespace peridotgrade {

/// The exact token bucket of a tenant. Entries get tokens from it before they serve requests.
///
/// A new account starts half full, less what each entry says that it used lately, so that a hand-over between
/// holders brings no second burst. An entry that has traffic of the tenant and falls silent is probably cut
/// off and uses its own share; while it is silent its part is not granted to others, nor is that of members
/// that have left the group without a successor. All times are of a clock that advances while the machine is
/// suspended. Not thread safe.
class QuotaAccount {
public:
    /// Part of the burst by which a request may overdraw the bucket: without it small requests would take
    /// what large ones wait for. A twentieth is half of the usual tolerance.
    static constexpr double OverdraftShare = 0.05;
    /// An entry without tokens asks again after at most a second, and one without traffic says so.
    static constexpr std::chrono::milliseconds SilenceTime { 2000 };
    /// Part of its share that a member of the group uses while it does not reach the holder: it may use it
    /// for `SilenceTime` before the holder knows.
    static constexpr double OwnShare = 0.5;
    /// Part of the burst that a new account starts with. Entries that were killed report nothing, and the
    /// former holder may grant for a moment longer, so with full buckets an account that moved twice within a
    /// few seconds granted three bursts.
    static constexpr double StartShare = 0.5;

    QuotaAccount(const TenantQuota& quota, TimePoint now);

    /// Takes effect at once: a lower burst cuts the bucket.
    void setQuota(const TenantQuota& quota, TimePoint now);
    /// Answers a request; nothing if the member has sent a newer one since. `group` has the members' shares.
    std::optional<QuotaGrant> answer(const QuotaRequest& request, const QuotaGroup& group, TimePoint now);
    /// Tokens that are left now; below zero if the bucket is overdrawn.
    double tokens() const { return this->bucket.tokens(); }

private:
    struct Member {
        /// The newest request; a repetition gets `lastGrant` again.
        std::uint64_t lastId = 0;
        QuotaGrant lastGrant;
        TimePoint heardAt {};
        /// It has traffic of the tenant.
        bool isActive = false;
    };

    void refill(const QuotaGroup& group, TimePoint now);
    void deductReport(double recentlyUsed);
    void grant(const QuotaRequest& request, QuotaGrant& grant);
    /// Forgets members that have left the group.
    void removeFormerMembers(const QuotaGroup& group, TimePoint now);

    TenantQuota quota;
    TokenBucket bucket;
    /// Rate at which tokens flow in now: without the parts of silent members.
    double currentRate = 0;
    /// Sum of the reports that were subtracted. Invariant: at most what the account started with, since
    /// reports may also tell of what flowed in meanwhile.
    double deducted = 0;
    std::map<std::string, Member> members;
};

} // namespace peridotgrade
