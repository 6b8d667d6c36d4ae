// Decaying counts of each priority.
#include "peridotgrade/core/serving/priority_shares.h"

#include <algorithm>
#include <cmath>

namespace peridotgrade {

namespace {
    // Ends that must have been seen before a share counts as evidence.
    constexpr double MinEnds = 2;
} // namespace

double PriorityShares::decay(TimePoint now, Duration time) const
{
    auto age = std::chrono::duration<double>(std::max<Duration>(now - this->updatedAt, Duration::zero()));
    return std::exp(-age / time);
}

PriorityShares::Level& PriorityShares::update(RequestPriority priority, TimePoint now)
{
    double demandFactor = this->decay(now, DemandTime);
    double shareFactor = this->decay(now, ShareTime);
    for (auto& [other, level] : this->levels) {
        level.arrived *= demandFactor;
        level.arrivedTokens *= demandFactor;
        level.served *= shareFactor;
        level.ended *= shareFactor;
    }
    this->updatedAt = std::max(this->updatedAt, now);
    return this->levels[priority];
}

void PriorityShares::noteArrival(RequestPriority priority, std::uint32_t tokens, TimePoint now)
{
    Level& level = this->update(priority, now);
    level.arrived += 1;
    level.arrivedTokens += tokens;
}

void PriorityShares::noteEnd(RequestPriority priority, bool isServed, TimePoint now)
{
    Level& level = this->update(priority, now);
    level.ended += 1;
    level.served += isServed ? 1 : 0;
}

std::uint32_t PriorityShares::rankOf(RequestPriority priority, TimePoint now) const
{
    double minWeight = MinWeight / this->decay(now, DemandTime);
    std::uint32_t rank = 0;
    for (const auto& [other, level] : this->levels) {
        if (other >= priority)
            break;
        rank += level.arrived >= minWeight ? 1 : 0;
    }
    return rank;
}

double PriorityShares::servedShare(RequestPriority priority, TimePoint now) const
{
    auto found = this->levels.find(priority);
    if (found == this->levels.end() || found->second.ended * this->decay(now, ShareTime) < MinEnds)
        return 1;
    return found->second.served / found->second.ended;
}

bool PriorityShares::isStarved(RequestPriority priority, TimePoint now) const
{
    // The only priority is served as often as all requests are.
    if (this->levels.size() < 2)
        return false;
    double served = 0;
    double ended = 0;
    for (const auto& [other, level] : this->levels) {
        served += level.served;
        ended += level.ended;
    }
    return ended > 0 && this->servedShare(priority, now) < GuaranteedShare * served / ended;
}

double PriorityShares::servedShareOfAll() const
{
    double served = 0;
    double ended = 0;
    for (const auto& [priority, level] : this->levels) {
        served += level.served;
        ended += level.ended;
    }
    return ended < MinEnds ? 1 : served / ended;
}

double PriorityShares::meanTokens() const
{
    double tokens = 0;
    double arrived = 0;
    for (const auto& [priority, level] : this->levels) {
        tokens += level.arrivedTokens;
        arrived += level.arrived;
    }
    return arrived > 0 ? tokens / arrived : 0;
}

double PriorityShares::urgentTokensPerSecond(RequestPriority priority, TimePoint now) const
{
    double tokens = 0;
    for (const auto& [other, level] : this->levels) {
        if (other >= priority)
            break;
        tokens += level.arrivedTokens;
    }
    return tokens * this->decay(now, DemandTime) / std::chrono::duration<double>(DemandTime).count();
}

} // namespace peridotgrade
