// Groups a plan's steps into waves and forecasts capacity.
#pragma once

#include "implied_intents.h"
#include "peridotgrade/core/config/plan.h"
#include "peridotgrade/core/config/planner.h"

#include <map>
#include <vector>

namespace peridotgrade {

struct PlanSchedule {
    std::vector<PlanStep> steps;
    std::vector<ServiceForecast> services;
    std::chrono::milliseconds duration { 0 };
};

/// Steps from `before` to `after`. Engines that join come first, since they cost no capacity. Engines that
/// serve now and change follow, in waves of at most the model's `maxShareAtOnce` of their pool. Released
/// engines come last. A wave begins when the weight store has had time for all loads before it and the
/// engines changed before it have had time to drain.
PlanSchedule scheduleOf(const SiteConfiguration& before, const SiteConfiguration& after,
    const std::vector<ServeModel>& models, const PlanningView& view);

} // namespace peridotgrade
