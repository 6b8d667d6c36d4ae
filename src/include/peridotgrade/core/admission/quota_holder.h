// The accounts of the tenants whose partitions this entry holds.
#pragma once

#include "peridotgrade/core/admission/quota_account.h"
#include "peridotgrade/core/admission/quota_membership.h"
#include "peridotgrade/core/serving/routing_configuration.h"

#include <map>
#include <memory>
#include <optional>

namespace peridotgrade {

/// Answers requests for tokens while this entry's membership is confirmed. All times are of a clock that
/// advances while the machine is suspended. Not thread safe.
class QuotaHolder {
public:
    /// A membership without a confirmation ends after this time at the latest, and others may hold the
    /// partitions from then on.
    static constexpr std::chrono::milliseconds MembershipLifetime { 4500 };

    void setConfiguration(std::shared_ptr<const RoutingConfiguration> newConfiguration);
    void setGroup(const QuotaGroup* newGroup) { this->group = newGroup; }
    /// Accounts end if another entry may have held them since the last confirmation.
    void confirm(const QuotaMembership& confirmation);
    bool isMember(TimePoint now) const;
    /// Nothing if the request is older than one that was answered.
    std::optional<QuotaGrant> answer(const QuotaRequest& request, TimePoint now);

private:
    bool holds(const TenantId& tenant, TimePoint now) const;

    std::shared_ptr<const RoutingConfiguration> configuration;
    /// Quotas of the configuration. Points into it.
    std::map<TenantId, const TenantQuota*> quotas;
    const QuotaGroup* group = nullptr;
    std::optional<QuotaMembership> membership;
    /// Invariant: only of partitions that this entry has held without a break.
    std::map<TenantId, QuotaAccount> accounts;
};

} // namespace peridotgrade
