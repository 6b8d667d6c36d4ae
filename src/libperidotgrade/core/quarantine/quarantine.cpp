// Derives quarantine states from crashes and evicts the oldest ones beyond the capacity.
#include "peridotgrade/core/quarantine/quarantine.h"

#include <algorithm>
#include <list>
#include <map>
#include <set>
#include <unordered_map>

namespace peridotgrade {

namespace {

    // Further crashes of one suspect are not remembered.
    constexpr std::size_t MaxCrashes = 16;

    using SuspectList = std::list<Suspect>;

    struct Record {
        QuarantineState state = QuarantineState::Suspect;
        /// The crashes while the suspect was running, and a request that had it. Invariant: at most
        /// `MaxCrashes`.
        std::map<ServerCrash, Fingerprint> crashes;
        /// It had been answered shortly before its last crash.
        bool wasAnswered = false;
        /// Invariant: points into the list that matches the state.
        SuspectList::iterator position;
    };

} // namespace

class Quarantine::Impl {
public:
    explicit Impl(QuarantineLimits limits)
        : limits(limits)
    {
    }

    QuarantineState stateOf(const Suspect& suspect) const
    {
        auto found = this->records.find(suspect);
        return found == this->records.end() ? QuarantineState::Clean : found->second.state;
    }

    std::uint32_t crashesOf(const Suspect& suspect) const
    {
        auto found = this->records.find(suspect);
        return found == this->records.end() ? 0 : this->countCrashes(suspect, found->second);
    }

    std::vector<Suspect> recordCrashes(const std::vector<CrashReport>& reports)
    {
        std::set<Suspect> running;
        for (const CrashReport& report : reports) {
            for (const LostSuspect& lost : report.running) {
                running.insert(lost.suspect);
                this->addCrash(lost, report.crash);
            }
        }
        std::vector<Suspect> added;
        while (true) {
            // One quarantine may explain the crashes of the others, so they are counted anew after each.
            std::vector<Suspect> next = this->mostCrashing(running);
            if (next.empty())
                break;
            for (const Suspect& suspect : next)
                this->quarantine(suspect);
            added.insert(added.end(), next.begin(), next.end());
        }
        std::erase_if(added,
            [this](const Suspect& each) { return this->stateOf(each) != QuarantineState::Quarantined; });
        this->evictBeyondCapacity();
        return added;
    }

    void clearSuspect(const Suspect& suspect)
    {
        if (this->stateOf(suspect) == QuarantineState::Suspect)
            this->release(suspect);
    }

    void quarantine(const Suspect& suspect)
    {
        Record& record = this->recordOf(suspect);
        if (record.state == QuarantineState::Quarantined)
            return;
        record.state = QuarantineState::Quarantined;
        this->quarantineOrder.splice(this->quarantineOrder.end(), this->suspectOrder, record.position);
        for (const auto& [crash, request] : record.crashes)
            this->explained[crash].insert(suspect);
        if (suspect.kind == SuspectKind::PromptPart)
            this->reconsiderRequests();
        this->evictBeyondCapacity();
    }

    void release(const Suspect& suspect)
    {
        auto found = this->records.find(suspect);
        if (found == this->records.end())
            return;
        const Record& record = found->second;
        bool isQuarantined = record.state == QuarantineState::Quarantined;
        if (isQuarantined)
            this->unexplain(suspect, record);
        (isQuarantined ? this->quarantineOrder : this->suspectOrder).erase(record.position);
        this->records.erase(found);
    }

    std::vector<Suspect> allQuarantined() const
    {
        return { this->quarantineOrder.begin(), this->quarantineOrder.end() };
    }

private:
    Record& recordOf(const Suspect& suspect)
    {
        auto found = this->records.find(suspect);
        if (found != this->records.end())
            return found->second;
        auto position = this->suspectOrder.insert(this->suspectOrder.end(), suspect);
        return this->records.emplace(suspect, Record { QuarantineState::Suspect, {}, false, position })
            .first->second;
    }

    std::uint32_t limitOf(const Suspect& suspect) const
    {
        return suspect.kind == SuspectKind::PromptPart ? this->limits.requestsOfPart : this->limits.crashes;
    }

    /// What counts of the crashes of a suspect that are not explained.
    std::uint32_t countCrashes(const Suspect& suspect, const Record& record) const
    {
        bool isPart = suspect.kind == SuspectKind::PromptPart;
        std::uint32_t crashes = 0;
        std::set<Fingerprint> requests;
        for (const auto& [crash, request] : record.crashes) {
            if (isPart ? this->isExplainedByPart(crash) : this->explained.contains(crash))
                continue;
            ++crashes;
            requests.insert(request);
        }
        return isPart ? static_cast<std::uint32_t>(requests.size()) : crashes;
    }

    void addCrash(const LostSuspect& lost, const ServerCrash& crash)
    {
        Record& record = this->recordOf(lost.suspect);
        if (record.crashes.size() >= MaxCrashes)
            return;
        bool isNew = record.crashes.try_emplace(crash, lost.request).second;
        if (isNew)
            record.wasAnswered = lost.wasAnswered;
        if (isNew && record.state == QuarantineState::Quarantined)
            this->explained[crash].insert(lost.suspect);
    }

    void unexplain(const Suspect& suspect, const Record& record)
    {
        for (const auto& [crash, request] : record.crashes) {
            auto found = this->explained.find(crash);
            if (found == this->explained.end())
                continue;
            found->second.erase(suspect);
            if (found->second.empty())
                this->explained.erase(found);
        }
    }

    /// True if a quarantined part of prompts was running in the crash.
    bool isExplainedByPart(const ServerCrash& crash) const
    {
        auto found = this->explained.find(crash);
        return found != this->explained.end() && found->second.rbegin()->kind == SuspectKind::PromptPart;
    }

    /// Requests that only ran beside a quarantined part, or have it, are suspect again.
    void reconsiderRequests()
    {
        for (auto each = this->quarantineOrder.begin(); each != this->quarantineOrder.end();) {
            Suspect suspect = *each++;
            Record& record = this->recordOf(suspect);
            auto others = std::count_if(record.crashes.begin(), record.crashes.end(),
                [this](const auto& each) { return !this->isExplainedByPart(each.first); });
            // One that another process reported has no crashes here.
            bool isExplained = !record.crashes.empty() && others < this->limits.crashes;
            if (suspect.kind == SuspectKind::PromptPart || !isExplained)
                continue;
            record.state = QuarantineState::Suspect;
            this->suspectOrder.splice(this->suspectOrder.end(), this->quarantineOrder, record.position);
            this->unexplain(suspect, record);
        }
    }

    /// True if the suspect was answered shortly before, and something that was not shares all or all but one
    /// of its `crashes` that are not explained.
    bool wasProbablyBeside(const Suspect& suspect, std::uint32_t crashes) const
    {
        const Record& own = this->records.at(suspect);
        auto isShared = [&](const Record& other) {
            auto shared = std::count_if(own.crashes.begin(), own.crashes.end(), [&](const auto& each) {
                auto found = other.crashes.find(each.first);
                // A part of prompts that only the suspect itself had there is no other cause.
                return !this->explained.contains(each.first) && found != other.crashes.end()
                    && found->second != suspect.content;
            });
            return shared + 1 >= crashes;
        };
        return own.wasAnswered
            && std::any_of(this->records.begin(), this->records.end(), [&](const auto& each) {
                   return each.first != suspect && !each.second.wasAnswered && isShared(each.second);
               });
    }

    /// The suspects among `running` that were in most crashes, if these are enough.
    std::vector<Suspect> mostCrashing(const std::set<Suspect>& running) const
    {
        std::vector<Suspect> result;
        std::uint32_t most = 0;
        for (const Suspect& suspect : running) {
            std::uint32_t crashes = this->crashesOf(suspect);
            bool isEnough = crashes >= this->limitOf(suspect);
            if (this->stateOf(suspect) != QuarantineState::Suspect || !isEnough || crashes < most
                || this->wasProbablyBeside(suspect, crashes))
                continue;
            if (crashes > most)
                result.clear();
            most = crashes;
            result.push_back(suspect);
        }
        return result;
    }

    void evictBeyondCapacity()
    {
        while (this->records.size() > this->limits.capacity) {
            // A copy, since the list's own element ends with its record.
            Suspect oldest
                = (this->suspectOrder.empty() ? this->quarantineOrder : this->suspectOrder).front();
            this->release(oldest);
        }
    }

    const QuarantineLimits limits;
    /// Invariant: after each call at most `capacity` records, each in exactly one of the two lists.
    std::unordered_map<Suspect, Record> records;
    /// Oldest first.
    SuspectList suspectOrder;
    SuspectList quarantineOrder;
    /// Crashes of what is quarantined, with what was running there of it: requests before parts of prompts.
    /// Invariant: no set is empty.
    std::map<ServerCrash, std::set<Suspect>> explained;
};

Quarantine::Quarantine(QuarantineLimits limits)
    : impl(std::make_unique<Impl>(limits))
{
}

Quarantine::~Quarantine() = default;

QuarantineState Quarantine::stateOf(const Suspect& suspect) const { return this->impl->stateOf(suspect); }

std::uint32_t Quarantine::crashesOf(const Suspect& suspect) const { return this->impl->crashesOf(suspect); }

std::vector<Suspect> Quarantine::recordCrashes(const std::vector<CrashReport>& reports)
{
    return this->impl->recordCrashes(reports);
}

void Quarantine::recordAnswered(const Suspect& suspect) { this->impl->clearSuspect(suspect); }

void Quarantine::quarantine(const Suspect& suspect) { this->impl->quarantine(suspect); }

void Quarantine::release(const Suspect& suspect) { this->impl->release(suspect); }

std::vector<Suspect> Quarantine::quarantined() const { return this->impl->allQuarantined(); }

} // namespace peridotgrade
