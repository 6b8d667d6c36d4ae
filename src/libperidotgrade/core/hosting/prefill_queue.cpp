// Scheduling order and backlog of the prefills at an engine.
#include "prefill_queue.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotgrade {

namespace {

    bool comesBefore(const PrefillJob& left, const PrefillJob& right)
    {
        auto order = [](const PrefillJob& job) {
            return std::make_tuple(job.request.priority, job.latestStart(), job.arrival);
        };
        return order(left) < order(right);
    }

    Duration remaining(const PrefillJob& job, TimePoint now)
    {
        if (job.state == PrefillState::Kept)
            return Duration::zero();
        if (job.state == PrefillState::Queued)
            return job.cost;
        return std::max(Duration::zero(), job.startedAt + job.cost - now);
    }

} // namespace

PrefillJob* PrefillQueue::find(const AttemptKey& key)
{
    auto found = this->jobs.find(key);
    return found == this->jobs.end() ? nullptr : &found->second;
}

void PrefillQueue::add(PrefillJob job)
{
    job.arrival = ++this->lastArrival;
    AttemptKey key = job.key;
    bool isNew = this->jobs.emplace(key, std::move(job)).second;
    checkInvariant(isNew, Invariant::InternalConsistency, "an attempt has two prefills at one engine");
}

std::optional<PrefillJob> PrefillQueue::remove(const AttemptKey& key)
{
    auto found = this->jobs.find(key);
    if (found == this->jobs.end())
        return std::nullopt;
    PrefillJob removed = std::move(found->second);
    this->jobs.erase(found);
    return removed;
}

const PrefillJob* PrefillQueue::next() const
{
    const PrefillJob* best = nullptr;
    for (const auto& [key, job] : this->jobs) {
        if (job.state == PrefillState::Queued && (!best || comesBefore(job, *best)))
            best = &job;
    }
    return best;
}

Duration PrefillQueue::backlog(TimePoint now) const
{
    Duration sum {};
    for (const auto& [key, job] : this->jobs)
        sum += remaining(job, now);
    return sum;
}

Duration PrefillQueue::waitBefore(const PrefillJob& job, TimePoint now) const
{
    Duration sum {};
    for (const auto& [key, other] : this->jobs) {
        if (other.state == PrefillState::Running || !comesBefore(job, other))
            sum += remaining(other, now);
    }
    return sum;
}

std::vector<AttemptKey> PrefillQueue::keys() const
{
    std::vector<AttemptKey> keys;
    for (const auto& [key, job] : this->jobs)
        keys.push_back(key);
    return keys;
}

std::vector<AttemptKey> PrefillQueue::keysOf(SessionEpoch epoch) const
{
    std::vector<AttemptKey> keys;
    for (const auto& [key, job] : this->jobs) {
        if (key.epoch == epoch)
            keys.push_back(key);
    }
    return keys;
}

std::size_t PrefillQueue::count(PrefillState state) const
{
    return static_cast<std::size_t>(std::count_if(
        this->jobs.begin(), this->jobs.end(), [&](const auto& item) { return item.second.state == state; }));
}

bool PrefillQueue::hasOtherSuspect(const AttemptKey& own) const
{
    return std::any_of(this->jobs.begin(), this->jobs.end(), [&](const auto& item) {
        const PrefillJob& job = item.second;
        return job.request.isSuspect && job.state != PrefillState::Kept && item.first != own;
    });
}

} // namespace peridotgrade
