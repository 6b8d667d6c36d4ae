// One randomised simulation: seeded requests, cancellations and faults, then a fault-free period and the
// checks.
#pragma once

#include "world_counts.h"

#include <string>
#include <vector>

namespace peridotgrade::test {

struct RandomRunSettings {
    std::uint64_t seed = 1;
    /// Duration of the period with faults, in virtual time.
    std::chrono::milliseconds faultyTime { 12000 };
    /// Fault-free time after which everything must have been freed.
    std::chrono::milliseconds quietTime { 12000 };
    bool hasProcessFaults = true;
    bool hasNetworkFaults = true;
    bool hasEngineFaults = true;
    bool hasPoison = true;
    /// Callers that send the same crashing request repeatedly.
    std::uint64_t poisonCallers = 1;
    /// The log is unreachable, so entries learn of quarantines only from crashes they observe themselves.
    bool areQuarantineNoticesLost = false;
    /// The last entry's VM is lost at the end, and no agent notices that its connection is lost.
    bool isEntryLostForGood = false;
};

struct RandomRunResult {
    std::vector<std::string> failures;
    std::uint64_t digest = 0;
    std::size_t requests = 0;
    std::size_t answered = 0;
    /// Refusals by reason.
    std::map<RefusalReason, std::size_t> refused;
    std::uint64_t poisonCrashes = 0;
};

class RandomRun {
public:
    explicit RandomRun(RandomRunSettings settings)
        : settings(settings)
        , world(worldSettings(settings.seed))
        , random(settings.seed * 7919 + 17)
        , meanFaultInterval(200 + this->random.below(1800))
    {
    }

    RandomRunResult run()
    {
        this->world.runFor(std::chrono::milliseconds { 400 });
        this->setUpNetwork();
        this->setUpPoison();
        this->scheduleRequest();
        this->scheduleFault();
        this->world.runFor(this->settings.faultyTime);
        this->endFaults();
        this->world.runFor(this->settings.quietTime);
        return this->check();
    }

    void printLog(std::ostream& out) const { this->world.log.print(out); }

private:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr Milliseconds MeanRequestInterval { 60 };
    static constexpr std::uint64_t PoisonResends = 12;

    static WorldSettings worldSettings(std::uint64_t seed)
    {
        WorldSettings world;
        world.seed = seed;
        world.router.streamStallTimeout = Milliseconds { 700 };
        world.router.maxRetries = 4;
        world.router.retryBudgetReserve = 50;
        return world;
    }

    Duration upTo(Milliseconds longest)
    {
        return std::chrono::microseconds { this->random.below(longest.count() * 1000 + 1) };
    }

    void setUpNetwork()
    {
        if (!this->settings.hasNetworkFaults)
            return;
        constexpr double Rates[] = { 0, 0.002, 0.02 };
        this->world.network.faults.lossRate = Rates[this->random.below(3)];
        this->world.network.faults.duplicationRate = Rates[this->random.below(3)];
        this->world.network.faults.maxDelay = Milliseconds { 1 + this->random.below(60) };
    }

    void setUpPoison()
    {
        if (!this->settings.hasPoison)
            return;
        this->world.lostQuarantineNotices = this->settings.areQuarantineNoticesLost ? 1 : 0;
        this->world.onPoisonEnded = [this](const LedgerEntry&) { this->sendPoisonLater(); };
        for (std::uint64_t i = 0; i < this->settings.poisonCallers; ++i)
            this->sendPoisonLater();
    }

    void sendPoisonLater()
    {
        if (this->haveFaultsEnded || ++this->poisonsSent > PoisonResends)
            return;
        this->world.clock.subscribeAfter(this->upTo(Milliseconds { 600 }), [this] {
            std::size_t entry = this->random.below(this->world.entries.size());
            this->world.submit(entry, this->settings.seed, true);
        });
    }

    void scheduleRequest()
    {
        this->world.clock.subscribeAfter(this->upTo(MeanRequestInterval * 2), [this] {
            if (this->haveFaultsEnded)
                return;
            std::size_t entry = this->random.below(this->world.entries.size());
            RequestId id = this->world.submit(entry, ++this->lastNumber);
            if (this->random.below(4) == 0)
                this->world.clock.subscribeAfter(
                    this->upTo(Milliseconds { 1000 }), [this, id] { this->world.cancel(id); });
            this->scheduleRequest();
        });
    }

    void scheduleFault()
    {
        this->world.clock.subscribeAfter(this->upTo(this->meanFaultInterval * 2), [this] {
            if (this->haveFaultsEnded)
                return;
            this->causeFault();
            this->scheduleFault();
        });
    }

    void causeFault()
    {
        std::size_t entry = this->random.below(this->world.entries.size());
        std::size_t agent = this->random.below(this->world.agents.size());
        switch (this->random.below(8)) {
        case 0:
            if (this->settings.hasNetworkFaults)
                this->world.cut(entry, agent);
            return;
        case 1:
            if (this->settings.hasEngineFaults)
                this->world.engines[agent]->crash();
            return;
        case 2:
            if (this->settings.hasEngineFaults)
                this->world.engines[agent]->stalledTransfers = this->random.below(2) == 0 ? 0.3 : 0;
            return;
        default:
            if (this->settings.hasProcessFaults)
                this->causeProcessFault(entry, agent);
        }
    }

    void causeProcessFault(std::size_t entry, std::size_t agent)
    {
        switch (this->random.below(6)) {
        case 0:
            this->world.killEntry(entry);
            this->after(Milliseconds { 2000 }, [this, entry] {
                if (!this->haveFaultsEnded)
                    this->world.startEntry(entry);
            });
            return;
        case 1:
            this->world.killAgent(agent);
            this->after(Milliseconds { 2000 }, [this, agent] { this->world.startAgent(agent); });
            return;
        case 2:
        case 3:
            this->freeze(
                this->world.entries[entry].get(), [this, entry] { return this->world.entries[entry].get(); });
            return;
        case 4:
            this->freeze(
                this->world.agents[agent].get(), [this, agent] { return this->world.agents[agent].get(); });
            return;
        default:
            this->world.drainAgent(agent);
            this->after(Milliseconds { 3000 }, [this, agent] {
                this->world.killAgent(agent);
                this->world.startAgent(agent);
            });
        }
    }

    template <typename Then> void after(Milliseconds longest, Then then)
    {
        this->world.clock.subscribeAfter(this->upTo(longest), then);
    }

    template <typename Find> void freeze(FakeProcess* process, Find find)
    {
        if (!process || process->isFrozen)
            return;
        process->isFrozen = true;
        this->after(Milliseconds { 3000 }, [find] {
            if (FakeProcess* thawed = find())
                thawed->isFrozen = false;
        });
    }

    void endFaults()
    {
        this->haveFaultsEnded = true;
        this->world.network.faults = NetworkFaults {};
        if (this->settings.isEntryLostForGood) {
            this->world.network.faults.maxCutNoticeDelay = Milliseconds { 600000 };
            this->world.killEntry(this->world.entries.size() - 1);
            this->world.network.faults.maxCutNoticeDelay = NetworkFaults {}.maxCutNoticeDelay;
        }
        for (std::size_t i = 0; i < this->world.engines.size(); ++i) {
            this->world.engines[i]->stalledTransfers = 0;
            this->world.engines[i]->restart();
            this->world.startAgent(i);
            this->world.agents[i]->isFrozen = false;
        }
        for (std::size_t i = 0; i < this->world.entries.size(); ++i) {
            bool isLost = this->settings.isEntryLostForGood && i + 1 == this->world.entries.size();
            if (isLost)
                continue;
            this->world.startEntry(i);
            this->world.entries[i]->isFrozen = false;
        }
    }

    RandomRunResult check()
    {
        RequestLedger& ledger = this->world.ledger;
        ledger.checkAllEnded();
        RandomRunResult result;
        result.failures = ledger.failures;
        auto expect = [&](bool isMet, const std::string& what) {
            if (!isMet)
                result.failures.push_back(what);
        };
        for (std::size_t i = 0; i < this->world.engines.size(); ++i) {
            std::size_t held = this->world.engines[i]->held();
            expect(held == 0, "engine" + std::to_string(i) + " holds " + std::to_string(held));
            expect(this->world.agents[i]->host.counters().reservationsHeld == 0,
                "agent" + std::to_string(i) + " counts reservations as held");
        }
        for (std::size_t i = 0; i < this->world.entries.size(); ++i) {
            if (!this->world.entries[i])
                continue;
            const auto& router = this->world.entries[i]->router;
            expect(router.openRequests() == 0, "entry" + std::to_string(i) + " has open requests");
            expect(router.heldAttempts() == 0, "entry" + std::to_string(i) + " still holds attempts");
        }
        result.digest = this->world.log.digest();
        result.requests = ledger.all().size();
        for (const auto& [id, entry] : ledger.all()) {
            if (entry.isAnswered)
                ++result.answered;
            else if (entry.finalActions > 0)
                ++result.refused[entry.refusal.reason];
        }
        result.poisonCrashes = poisonCrashes(this->world);
        return result;
    }

    RandomRunSettings settings;
    World world;
    RandomSource random;
    Milliseconds meanFaultInterval;
    bool haveFaultsEnded = false;
    std::uint64_t lastNumber = 1000;
    std::uint64_t poisonsSent = 0;
};

} // namespace peridotgrade::test
