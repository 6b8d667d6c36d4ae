// Capacity of the engines of a benchmark run.
#include "site_settings.h"

#include <algorithm>

namespace peridotgrade::bench {

double SiteCapacity::idealShare(double load) const
{
    return std::min(1.0 - this->infeasibleShare, 1.0 / load);
}

SiteCapacity capacityOf(const SiteSettings& settings)
{
    const EngineModelSettings& engine = settings.engine;
    WorkloadMeans means
        = Workload::means(settings.workload, engine.prefillTokensPerSecond, settings.firstTokenTarget);
    Duration step = engine.stepBase + engine.stepPerStream * static_cast<int>(engine.slots);
    double tokensPerSecond = engine.slots / std::chrono::duration<double>(step).count();
    double decode = settings.decodeEngines * tokensPerSecond / means.outputTokens;
    double prefill = settings.prefillEngines * engine.prefillTokensPerSecond / means.uncachedPromptTokens;
    return { std::min(decode, prefill), means.infeasibleShare };
}

} // namespace peridotgrade::bench
