// Adds and finds plans; the oldest is evicted.
#include "plan_store.h"

#include <utility>

namespace peridotgrade {

void PlanStore::add(Plan plan)
{
    std::lock_guard lock(this->mutex);
    std::erase_if(this->plans, [&](const Plan& each) { return each.id == plan.id; });
    this->plans.push_back(std::move(plan));
    if (this->plans.size() > MaxPlans)
        this->plans.pop_front();
}

std::optional<Plan> PlanStore::find(const PlanId& id) const
{
    std::lock_guard lock(this->mutex);
    for (const Plan& plan : this->plans) {
        if (plan.id == id)
            return plan;
    }
    return std::nullopt;
}

} // namespace peridotgrade
