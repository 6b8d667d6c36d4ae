// Lock-free hybrid logical clock: milliseconds and a counter in one word.
#include "peridotgrade/ops/hybrid_clock.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    constexpr unsigned CounterBits = 16;
    // One wrong clock must not advance the clocks of all other processes.
    constexpr std::chrono::milliseconds MaxOffset { std::chrono::minutes { 1 } };
} // namespace

HybridClock::HybridClock(std::function<WallTime()> wallClock)
    : wallClock(std::move(wallClock))
{
}

std::uint64_t HybridClock::wallValue() const
{
    auto milliseconds = this->wallClock().time_since_epoch().count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, milliseconds)) << CounterBits;
}

HybridTime HybridClock::tick()
{
    std::uint64_t wall = this->wallValue();
    std::uint64_t previous = this->last.load();
    std::uint64_t next = 0;
    do {
        next = std::max(wall, previous + 1);
    } while (!this->last.compare_exchange_weak(previous, next));
    return HybridTime { next };
}

void HybridClock::observe(HybridTime remote)
{
    std::uint64_t limit = this->wallValue() + (static_cast<std::uint64_t>(MaxOffset.count()) << CounterBits);
    if (remote.raw() > limit)
        return;
    std::uint64_t previous = this->last.load();
    while (previous < remote.raw() && !this->last.compare_exchange_weak(previous, remote.raw())) { }
}

} // namespace peridotgrade
