// Simulated entry and agent processes with their own timers, which can be frozen and killed.
#pragma once

#include "event_log.h"
#include "peridotgrade/core/hosting/model_host.h"
#include "peridotgrade/core/policy/two_choice_policy.h"
#include "peridotgrade/core/quarantine/quarantine.h"
#include "peridotgrade/core/routing/model_router.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace peridotgrade::test {

/// Base of both kinds of process. Input for a frozen process is queued until it resumes.
class FakeProcess {
public:
    FakeProcess(const std::string& name, TimePoint now, std::uint64_t seed, EventLog& log)
        : timers(now)
        , random(seed)
        , events(name, log)
    {
    }

    void post(std::function<void()> call) { this->inbox.push_back(std::move(call)); }

    /// True if the process has work to do now.
    bool isDue(TimePoint now) const
    {
        if (this->isFrozen)
            return false;
        auto next = this->timers.nextDue();
        return !this->inbox.empty() || (next && *next <= now) || this->timers.now() < now;
    }

    /// Runs one iteration of the event loop: advances the timers or else handles one input.
    void runOnce(TimePoint now)
    {
        auto due = this->timers.nextDue();
        if (this->timers.now() < now || (due && *due <= now)) {
            this->timers.advance(now);
            return;
        }
        if (this->inbox.empty())
            return;
        auto call = std::move(this->inbox.front());
        this->inbox.pop_front();
        call();
    }

    /// Distinguishes a restarted process from its predecessor.
    std::uint64_t serial = 0;
    bool isFrozen = false;
    TimerService timers;
    RandomSource random;
    LoggingSink events;

private:
    std::deque<std::function<void()>> inbox;
};

class FakeEntry : public FakeProcess {
public:
    FakeEntry(const ModelRouterSettings& settings, TimePoint now, std::uint64_t seed, EventLog& log)
        : FakeProcess(settings.entry.raw(), now, seed, log)
        , router(settings, TwoChoicePolicy {}, this->timers, this->random, this->quarantine, this->events)
    {
    }

    Quarantine quarantine;
    ModelRouter<TwoChoicePolicy> router;
};

class FakeAgent : public FakeProcess {
public:
    FakeAgent(const ModelHostSettings& settings, TimePoint now, std::uint64_t seed, EventLog& log)
        : FakeProcess(settings.agent.raw(), now, seed, log)
        , host(settings, this->timers, this->random, this->events)
    {
    }

    ModelHost host;
    bool isDrainRequested = false;
};

} // namespace peridotgrade::test
