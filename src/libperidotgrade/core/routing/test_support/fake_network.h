// Simulated message transport: delay, loss, duplication, ordering.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/hosting/host_action.h"

#include <algorithm>
#include <cstdint>

namespace peridotgrade::test {

/// Rates of message faults, and delays.
struct NetworkFaults {
    double lossRate = 0;
    double duplicationRate = 0;
    std::chrono::milliseconds maxDelay { 3 };
    /// Longest time until the agent notices a cut connection.
    std::chrono::milliseconds maxCutNoticeDelay { 3000 };
};

/// One connection of an entry to an agent.
struct FakeConnection {
    ConnectionId id;
    std::size_t entry = 0;
    std::size_t agent = 0;
    /// Serial numbers of the processes at both ends.
    std::uint64_t entrySerial = 0;
    std::uint64_t agentSerial = 0;
    bool isCut = false;
    /// Arrival times of the last message in each direction; a later message does not arrive earlier.
    TimePoint lastToAgent;
    TimePoint lastToEntry;
};

class FakeNetwork {
public:
    FakeNetwork(TimerService& clock, RandomSource& random)
        : clock(clock)
        , random(random)
    {
    }

    NetworkFaults faults;

    Duration delayUpTo(std::chrono::milliseconds longest)
    {
        return std::chrono::microseconds { this->random.below(longest.count() * 1000 + 1) };
    }

    /// Delivers a message once, twice or not at all, in order.
    template <typename Deliver> void transmit(TimePoint& last, Deliver deliver)
    {
        if (this->random.unit() < this->faults.lossRate)
            return;
        int copies = this->random.unit() < this->faults.duplicationRate ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            last = std::max(last, this->clock.now() + this->delayUpTo(this->faults.maxDelay));
            this->clock.subscribeAt(last, deliver);
        }
    }

private:
    TimerService& clock;
    RandomSource& random;
};

} // namespace peridotgrade::test
