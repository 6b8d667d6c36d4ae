// The ways of messages in a run: delay, loss, repetition, order.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/hosting/host_action.h"

#include <algorithm>
#include <cstdint>

namespace peridotgrade::test {

/// Shares of messages and how long they take.
struct NetworkFaults {
    double lossRate = 0;
    double duplicationRate = 0;
    std::chrono::milliseconds maxDelay { 3 };
    /// How late the other side may notice a cut.
    std::chrono::milliseconds maxCutNoticeDelay { 3000 };
};

/// One connection of an entry to an agent.
struct FakeConnection {
    ConnectionId id;
    std::size_t entry = 0;
    std::size_t agent = 0;
    /// Numbers of the processes at its ends.
    std::uint64_t entrySerial = 0;
    std::uint64_t agentSerial = 0;
    bool isCut = false;
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

    /// Delivers once, twice or not at all, in order.
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
