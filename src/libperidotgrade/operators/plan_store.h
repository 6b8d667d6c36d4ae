// Plans made at this process and not forgotten yet.
#pragma once

#include "peridotgrade/core/config/plan.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

namespace peridotgrade {

/// Keeps the latest plans. Thread safe.
class PlanStore {
public:
    void add(Plan plan);
    std::optional<Plan> find(const PlanId& id) const;

private:
    static constexpr std::size_t MaxPlans = 64;

    mutable std::mutex mutex;
    /// Invariant: at most MaxPlans, one of each id, oldest first.
    std::deque<Plan> plans;
};

} // namespace peridotgrade
