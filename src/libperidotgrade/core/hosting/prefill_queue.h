// The prefills of one engine: queued, running, and retained for export.
#pragma once

#include "prefill_job.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

/// Prefill jobs by key. Queued jobs run in order of priority, then of their latest start time.
class PrefillQueue {
public:
    PrefillJob* find(const AttemptKey& key);
    void add(PrefillJob job);
    std::optional<PrefillJob> remove(const AttemptKey& key);

    /// The queued job that starts next; null if none is queued.
    const PrefillJob* next() const;
    /// Estimated time to finish all queued and running jobs.
    Duration backlog(TimePoint now) const;
    /// Estimated time until a job with this priority and latest start time could begin.
    Duration waitBefore(const PrefillJob& job, TimePoint now) const;

    std::vector<AttemptKey> keys() const;
    std::vector<AttemptKey> keysOf(SessionEpoch epoch) const;
    std::size_t count(PrefillState state) const;
    /// True if a suspect request of another attempt is queued or running.
    bool hasOtherSuspect(const AttemptKey& own) const;
    bool isEmpty() const { return this->jobs.empty(); }

private:
    std::uint64_t lastArrival = 0;
    std::map<AttemptKey, PrefillJob> jobs;
};

} // namespace peridotgrade
