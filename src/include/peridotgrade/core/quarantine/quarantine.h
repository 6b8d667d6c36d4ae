// Quarantine of requests, and of parts of prompts, that crash servers.
#pragma once

#include "peridotgrade/core/quarantine/server_crash.h"
#include "peridotgrade/core/quarantine/suspect.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace peridotgrade {

/// What is known about a request or a part of prompts.
enum class QuarantineState : std::uint8_t {
    Clean,
    Suspect,
    /// A request that was answered shortly before it was in as many crashes as quarantine another one. It is
    /// sent as a trial only.
    Probation,
    Quarantined
};

/// What was running on a server when it crashed.
struct CrashReport {
    ServerCrash crash;
    std::vector<LostSuspect> running;
};

struct QuarantineLimits {
    /// Suspects that are remembered.
    std::size_t capacity = 4096;
    /// Crashes after which a request is quarantined.
    std::uint32_t crashes = 2;
    /// Different requests with a part of prompts that were lost in crashes, after which the part is
    /// quarantined.
    std::uint32_t requestsOfPart = 4;
    /// Trials lost in crashes, after which a request on probation is quarantined.
    std::uint32_t failedTrials = 2;
};

/// Keeps the quarantine state of requests and of parts of prompts. Each that is running on a server when it
/// crashes becomes suspect, whether alone or among others. A request is quarantined for the number of its
/// crashes; a part of prompts for the number of different requests that were lost with it, one in a crash,
/// since a single request may crash servers by what is its own. A request that many callers send runs on
/// several servers at any time, so it is in crashes of any cause; that it was answered shortly before one of
/// them tells it from others. It waits while all of its crashes, or all but one, are also those of something
/// that was not answered: it probably ran beside that, whose last crash may not be known here yet. Otherwise
/// it is on probation: it explains no crash, and only trials that end in crashes as well quarantine it.
/// Crashes that something quarantined explains no longer count for what was running beside it, and a request
/// that has no other ones is suspect only; but those of a quarantined request count for parts of prompts. A
/// request that is answered completely is cleared unless it is quarantined. Memory is bounded: the oldest
/// suspects are evicted first, what is quarantined last. Not thread safe.
class Quarantine {
public:
    explicit Quarantine(QuarantineLimits limits = {});
    ~Quarantine();
    Quarantine(const Quarantine&) = delete;
    Quarantine& operator=(const Quarantine&) = delete;

    /// A suspect has been quarantined, or is suspect only from now on. Not called for what is forgotten.
    using StateCallback = std::function<void(const Suspect&, bool isQuarantined)>;
    void setOnStateChanged(StateCallback callback);

    QuarantineState stateOf(const Suspect& suspect) const;
    /// Cheaper than the state, which takes the crashes of others into account.
    bool isQuarantined(const Suspect& suspect) const;
    /// Crashes in which a request was running, or different requests with a part of prompts, as far as
    /// nothing quarantined explains them.
    std::uint32_t crashesOf(const Suspect& suspect) const;

    /// A server crashed while these were running. Reporting one crash again has no further effect. Returns
    /// what this report newly quarantines: those that were running in most crashes, all of them if several
    /// were in equally many.
    std::vector<Suspect> recordCrash(const ServerCrash& crash, const std::vector<LostSuspect>& running)
    {
        return this->recordCrashes({ { crash, running } });
    }
    /// The same for several crashes that became known at once, so that their order has no effect.
    std::vector<Suspect> recordCrashes(const std::vector<CrashReport>& reports);

    /// A request was answered completely, so it is cleared unless it is quarantined.
    void recordAnswered(const Suspect& suspect);

    /// Adds what the log or another process reports as quarantined.
    void quarantine(const Suspect& suspect);

    /// Forgets a suspect, quarantined or not.
    void release(const Suspect& suspect);

    /// All that is quarantined, the oldest first.
    std::vector<Suspect> quarantined() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
