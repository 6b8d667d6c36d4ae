// The prefills of one engine: waiting, running, and kept.
#pragma once

#include "prefill_job.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

/// Prefill jobs by key. Waiting ones run in order of priority, then of their latest start.
class PrefillQueue {
public:
    PrefillJob* find(const AttemptKey& key);
    void add(PrefillJob job);
    std::optional<PrefillJob> remove(const AttemptKey& key);

    /// The waiting job that is to start next; null if none waits.
    const PrefillJob* next() const;
    /// Time to finish everything that waits or runs.
    Duration backlog(TimePoint now) const;
    /// Time until a job of this priority and latest start could begin.
    Duration waitBefore(const PrefillJob& job, TimePoint now) const;

    std::vector<AttemptKey> keys() const;
    std::vector<AttemptKey> keysOf(SessionEpoch epoch) const;
    std::size_t count(PrefillState state) const;
    /// True if a suspect of another attempt waits or runs.
    bool hasOtherSuspect(const AttemptKey& own) const;
    bool isEmpty() const { return this->jobs.empty(); }

private:
    std::uint64_t lastArrival = 0;
    std::map<AttemptKey, PrefillJob> jobs;
};

} // namespace peridotgrade
