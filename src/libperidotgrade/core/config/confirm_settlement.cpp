// Implementation of the settlement of confirmations.
#include "peridotgrade/core/config/confirm_settlement.h"

namespace peridotgrade {

namespace {

    /// The plan that took effect on the same base, if it is remembered.
    std::string rivalOf(const ConfigurationFold& fold, const Plan& plan)
    {
        for (const HistoryEntry& entry : fold.history()) {
            if (entry.base == plan.base)
                return entry.plan.raw() + " by " + entry.operatorName;
        }
        return "an earlier plan";
    }

} // namespace

ConfirmStanding standingOf(const ConfigurationFold& fold, const Plan& plan, const AppendKnowledge& appends)
{
    if (const HistoryEntry* entry = fold.historyOf(plan.id))
        return PlanInForce { entry->version, entry->operatorName, entry->version != fold.version() };
    // The base is not in force any more and never will be again, so any copy still on its way is void. Behind
    // a gap the version is known to have been in force, which is enough.
    if (fold.version() > plan.base)
        return PlanVoid { fold.version(), rivalOf(fold, plan) };
    bool isUnread = appends.acknowledged && fold.readThrough() <= *appends.acknowledged;
    if (isUnread || fold.hasGap())
        return ReadBackNeeded {};
    return AppendNeeded {};
}

Confirmed confirmationOf(const Plan& plan, const std::string& operatorName)
{
    Confirmed confirmed;
    confirmed.plan = plan.id;
    confirmed.base = plan.base;
    confirmed.operatorName = operatorName;
    confirmed.changes = plan.changes;
    confirmed.summary = plan.summary;
    return confirmed;
}

} // namespace peridotgrade
