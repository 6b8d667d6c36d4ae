// Requests whose connection was lost, until it is known whether their server has ended.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/quarantine/server_crash.h"
#include "peridotgrade/core/quarantine/suspect.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <vector>

namespace peridotgrade {

/// Tells the requests that were running on a server when it crashed from those that merely lost their
/// connection. A lost connection alone is no evidence: connections are reset, cut and closed on ordinary
/// days. The end of the server's process, which may become known seconds later, makes it one. Not thread
/// safe.
class LostRuns {
public:
    /// The platform's list shows the end of a server within this time.
    static constexpr std::chrono::seconds MaxEvidenceDelay { 12 };
    /// Bounds the memory. The oldest are dropped first.
    static constexpr std::size_t MaxLosses = 4096;

    /// A request's connection to the server was lost while it may have been running there; `lost` are the
    /// request and the shared parts of its prompt. Returns true if that server is known to have ended, so
    /// that the loss belongs to its crash.
    bool recordLoss(const ServerCrash& incarnation, const std::vector<LostSuspect>& lost, TimePoint now);
    /// That incarnation of the server has ended. Returns the suspects that were lost there, each once.
    std::vector<LostSuspect> recordEnd(const ServerCrash& incarnation, TimePoint now);
    /// Incarnations of the server with losses, and no evidence so far.
    std::vector<ServerCrash> undecided(const std::string& server, TimePoint now);

private:
    struct Loss {
        TimePoint at;
        ServerCrash incarnation;
        std::vector<LostSuspect> lost;
    };
    struct End {
        TimePoint at;
        ServerCrash incarnation;
    };

    void removeExpired(TimePoint now);

    /// In order of time.
    std::deque<Loss> losses;
    std::deque<End> ends;
};

} // namespace peridotgrade
