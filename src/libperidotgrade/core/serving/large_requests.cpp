// Shares of large requests that were served, and the engines that are kept for them.
#include "peridotgrade/core/serving/large_requests.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace peridotgrade {

namespace {
    // Ends that must have been seen, of a priority and of all, before they count as evidence.
    constexpr double MinEnds = 1;
    constexpr double MinAllEnds = 2;
} // namespace

bool LargeRequests::isLarge(const WaitingRequest& request) const
{
    return request.tokens >= LargeRatio * this->shares.meanTokens();
}

void LargeRequests::noteEnd(const WaitingRequest& request, bool isServed, TimePoint now)
{
    if (!this->isLarge(request))
        return;
    auto age = std::chrono::duration<double>(std::max<Duration>(now - this->updatedAt, Duration::zero()));
    double factor = std::exp(-age / MemoryTime);
    for (auto& [priority, each] : this->ends) {
        each.served *= factor;
        each.all *= factor;
    }
    this->updatedAt = std::max(this->updatedAt, now);
    Ends& own = this->ends[request.priority];
    own.all += 1;
    own.served += isServed ? 1 : 0;
}

bool LargeRequests::isStarved(const WaitingRequest& request, TimePoint now) const
{
    auto found = this->ends.find(request.priority);
    return found != this->ends.end() && found->second.all >= MinEnds && this->isLarge(request)
        && found->second.served
        < GuaranteedShare * this->shares.servedShare(request.priority, now) * found->second.all;
}

std::vector<const ServerRecord*> LargeRequests::keptEngines(
    const std::vector<const ServerRecord*>& candidates) const
{
    Ends total;
    for (const auto& [priority, each] : this->ends) {
        total.served += each.served;
        total.all += each.all;
    }
    double served = this->shares.servedShareOfAll();
    if (total.all < MinAllEnds || served >= OverloadShare
        || total.served >= GuaranteedShare * served * total.all)
        return {};
    std::vector<std::pair<XXH64_hash_t, const ServerRecord*>> ranks;
    ranks.reserve(candidates.size());
    for (const ServerRecord* each : candidates)
        ranks.emplace_back(XXH3_64bits(each->id.raw().data(), each->id.raw().size()), each);
    auto count = static_cast<std::size_t>(KeptEngineShare * static_cast<double>(ranks.size()));
    auto end = ranks.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(ranks.begin(), end, ranks.end());
    std::vector<const ServerRecord*> kept;
    std::transform(
        ranks.begin(), end, std::back_inserter(kept), [](const auto& each) { return each.second; });
    return kept;
}

} // namespace peridotgrade
