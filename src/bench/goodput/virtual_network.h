// Simulated network of the goodput benchmark: delays within and between data centres, in virtual time.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timer_service.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace peridotgrade::bench {

/// Delivers messages after a delay with jitter. Each directed link keeps the order of its messages, like a
/// TCP connection.
class VirtualNetwork {
public:
    VirtualNetwork(TimerService& timers, RandomSource& random, Duration delay, Duration crossDataCentreDelay)
        : timers(timers)
        , random(random)
        , delay(delay)
        , crossDataCentreDelay(crossDataCentreDelay)
    {
    }

    template <typename Deliver>
    void send(std::uint64_t link, const DataCentreId& from, const DataCentreId& to, Deliver deliver)
    {
        ++this->sent;
        TimePoint& last = this->lastDelivery[link];
        last = std::max(last, this->timers.now() + this->drawDelay(from, to));
        this->timers.subscribeAt(last, std::move(deliver));
    }

    std::uint64_t messages() const { return this->sent; }

private:
    Duration drawDelay(const DataCentreId& from, const DataCentreId& to)
    {
        Duration base = from == to ? this->delay : this->crossDataCentreDelay;
        double jitter = this->random.unit() * static_cast<double>(base.count()) / 2;
        return base + Duration { static_cast<Duration::rep>(jitter) };
    }

    TimerService& timers;
    RandomSource& random;
    const Duration delay;
    const Duration crossDataCentreDelay;
    std::uint64_t sent = 0;
    /// Arrival time of the last message of each link. Invariant: never decreases.
    std::unordered_map<std::uint64_t, TimePoint> lastDelivery;
};

} // namespace peridotgrade::bench
