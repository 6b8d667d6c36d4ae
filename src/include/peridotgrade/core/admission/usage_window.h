// Tokens that were used within a sliding window.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace peridotgrade {

/// Sums tokens over a window in slots of a tenth of it, so that memory does not grow with the number of
/// requests. Covers the window and up to one slot more. Not thread safe.
class UsageWindow {
public:
    explicit UsageWindow(Duration window)
        : slotTime(std::max<Duration>(window / Slots, Duration { 1 }))
    {
    }

    void add(double tokens, TimePoint now)
    {
        this->advance(now);
        this->slots[this->newest % this->slots.size()] += tokens;
    }

    /// Takes back tokens that were not used after all.
    void remove(double tokens, TimePoint now)
    {
        this->advance(now);
        for (std::size_t age = 0; age < this->slots.size() && tokens > 0; ++age) {
            double& slot = this->slots[(this->newest + this->slots.size() - age) % this->slots.size()];
            double removed = std::min(slot, tokens);
            slot -= removed;
            tokens -= removed;
        }
    }

    double total(TimePoint now)
    {
        this->advance(now);
        double sum = 0;
        for (double slot : this->slots)
            sum += slot;
        return sum;
    }

private:
    static constexpr std::size_t Slots = 10;

    void advance(TimePoint now)
    {
        auto current = static_cast<std::size_t>(now.time_since_epoch() / this->slotTime);
        std::size_t passed = current > this->newest ? current - this->newest : 0;
        for (std::size_t each = 1; each <= std::min(passed, this->slots.size()); ++each)
            this->slots[(this->newest + each) % this->slots.size()] = 0;
        this->newest = std::max(this->newest, current);
    }

    Duration slotTime;
    /// Number of the current slot since the epoch of the clock. Invariant: only increases.
    std::size_t newest = 0;
    /// One more than the window has, since the current slot is incomplete.
    std::array<double, Slots + 1> slots {};
};

} // namespace peridotgrade
