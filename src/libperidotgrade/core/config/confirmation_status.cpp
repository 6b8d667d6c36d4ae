// Compares a confirmation with the history of the replica.
#include "peridotgrade/core/config/confirmation_status.h"

namespace peridotgrade {

namespace {

    /// The plan that took effect on the same base, or null.
    const HistoryEntry* competitorOf(const ConfigurationReplica& replica, const Plan& plan)
    {
        for (const HistoryEntry& entry : replica.history()) {
            if (entry.base == plan.base)
                return &entry;
        }
        return nullptr;
    }

} // namespace

ConfirmationStatus confirmationStatusOf(
    const ConfigurationReplica& replica, const Plan& plan, const AppendResults& appends)
{
    if (const HistoryEntry* entry = replica.historyOf(plan.id))
        return PlanInForce { entry->version, entry->operatorName, entry->version != replica.version() };
    // At most one plan takes effect on a base, so any copy of the confirmation still in transit is void.
    if (const HistoryEntry* competitor = competitorOf(replica, plan))
        return PlanVoid { replica.version(), competitor->plan.raw() + " by " + competitor->operatorName };
    if (replica.version() > plan.base)
        return PlanForgotten { replica.version() };
    bool isUnread = appends.acknowledged && replica.nextOffset() <= *appends.acknowledged;
    if (isUnread || replica.hasGap())
        return ReadBackNeeded {};
    return AppendNeeded {};
}

PlanConfirmation confirmationOf(const Plan& plan, const std::string& operatorName)
{
    PlanConfirmation confirmed;
    confirmed.plan = plan.id;
    confirmed.base = plan.base;
    confirmed.operatorName = operatorName;
    confirmed.changes = plan.changes;
    confirmed.summary = plan.summary;
    return confirmed;
}

} // namespace peridotgrade
