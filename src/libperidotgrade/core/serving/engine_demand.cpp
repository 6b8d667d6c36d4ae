// Engine time of runs at full engines.
#include "peridotgrade/core/serving/engine_demand.h"

#include <algorithm>
#include <vector>

namespace peridotgrade {

namespace {
    // Weight of the newest wait in its moving average.
    constexpr double NewestWeight = 0.2;

    template <typename Item> void pushBounded(std::deque<Item>& items, Item item)
    {
        items.push_back(item);
        if (items.size() > EngineDemand::MaxRuns)
            items.pop_front();
    }
} // namespace

void EngineDemand::recordPrefill(std::uint32_t tokens, Duration took)
{
    this->prefill.record(tokens, took);
    auto cost = this->prefill.estimate(tokens);
    auto occupancy = this->prefill.meanOccupancy();
    if (!cost || !occupancy)
        return;
    Duration wait = std::max(took - *cost, Duration::zero());
    this->prefillWait += std::chrono::duration_cast<Duration>((wait - this->prefillWait) * NewestWeight);
    bool isLong = this->prefillWait > *occupancy * LongWaitRatio;
    this->correction *= isLong ? CorrectionGrowth : CorrectionDecay;
    this->correction = std::clamp(this->correction, 1.0, MaxCorrection);
}

std::optional<Duration> EngineDemand::prefillTimeout(std::uint32_t tokens) const
{
    auto cost = this->prefill.estimate(tokens);
    if (!cost)
        return std::nullopt;
    return *cost * TimeoutCostFactor + this->prefillWait * TimeoutWaitFactor + TimeoutMargin;
}

void EngineDemand::recordRun(const EngineSpec& engine, const CompletedRun& run)
{
    if (run.events == 0)
        return;
    double memoryShare
        = engine.kvCapacityTokens > 0 ? static_cast<double>(run.tokens) / engine.kvCapacityTokens : 0;
    double slotShare = engine.slots > 0 ? 1.0 / engine.slots : 0;
    // The scarcer of the two limits how many requests run beside this one.
    pushBounded(this->sizes, Size { std::max(memoryShare, slotShare), run.events });
    pushBounded(this->paces, run.took / run.events);
    if (run.waited >= FullWait)
        pushBounded(this->fullPaces, run.took / run.events);
}

Duration EngineDemand::fullPace() const
{
    bool hasFull = this->fullPaces.size() >= MinRuns;
    const std::deque<Duration>& source = hasFull ? this->fullPaces : this->paces;
    // The median, so that some slow engines do not count as full ones.
    double quantile = hasFull ? 0.5 : BusyQuantile;
    std::vector<Duration> ordered(source.begin(), source.end());
    auto at = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(ordered.size() - 1));
    std::nth_element(ordered.begin(), ordered.begin() + at, ordered.end());
    return ordered[static_cast<std::size_t>(at)];
}

std::optional<RoleDemand> EngineDemand::current() const
{
    auto prefillTime = this->prefill.meanOccupancy();
    if (!prefillTime || this->sizes.size() < MinRuns)
        return std::nullopt;
    double shares = 0;
    double eventShares = 0;
    for (const Size& size : this->sizes) {
        shares += size.share;
        eventShares += size.share * size.events;
    }
    auto count = static_cast<double>(this->sizes.size());
    // The memory is reserved before the prefill.
    Duration decode = std::chrono::duration_cast<Duration>(
        this->fullPace() * (eventShares / count) + *this->prefill.meanTime() * (shares / count));
    return RoleDemand { std::chrono::duration_cast<Duration>(*prefillTime * this->correction), decode };
}

std::optional<RoleDemand> EngineDemand::currentNear(const RoleDemand& expected) const
{
    auto measured = this->current();
    if (!measured)
        return std::nullopt;
    double weight = static_cast<double>(this->sizes.size()) / MaxRuns;
    auto between = [weight](Duration from, Duration to) {
        return from + std::chrono::duration_cast<Duration>((to - from) * weight);
    };
    return RoleDemand { between(expected.prefill, measured->prefill),
        between(expected.decode, measured->decode) };
}

} // namespace peridotgrade
