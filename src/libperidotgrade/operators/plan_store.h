// The latest plans made at this process.
#pragma once

#include "peridotgrade/core/config/plan.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

namespace peridotgrade {

/// Keeps the latest plans and evicts older ones. Thread safe.
class PlanStore {
public:
    void add(Plan plan);
    std::optional<Plan> find(const PlanId& id) const;

private:
    static constexpr std::size_t MaxPlans = 64;

    mutable std::mutex mutex;
    /// Invariant: at most MaxPlans, one for each id, oldest first.
    std::deque<Plan> plans;
};

} // namespace peridotgrade
