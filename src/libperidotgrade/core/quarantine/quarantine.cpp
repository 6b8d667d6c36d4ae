// Derives quarantine states from crashes and evicts the oldest ones beyond the capacity.
#include "peridotgrade/core/quarantine/quarantine.h"

#include <algorithm>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace peridotgrade {

namespace {

    // Further crashes of one suspect are not remembered, but for those of trials.
    constexpr std::size_t MaxCrashes = 16;

    using SuspectList = std::list<Suspect>;

    struct Loss {
        /// A request that had the suspect.
        Fingerprint request;
        bool wasAnswered = false;
        bool wasTrial = false;
    };

    struct Record {
        /// Invariant: `Suspect` or `Quarantined`; whether a suspect is on probation depends on all others.
        QuarantineState state = QuarantineState::Suspect;
        /// The crashes while the suspect was running. Invariant: at most `MaxCrashes` that were no trials.
        std::map<ServerCrash, Loss> crashes;
        /// Invariant: points into the list that matches the state.
        SuspectList::iterator position;

        bool wasAnswered() const
        {
            return std::any_of(this->crashes.begin(), this->crashes.end(),
                [](const auto& each) { return each.second.wasAnswered; });
        }
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
        if (found == this->records.end())
            return QuarantineState::Clean;
        bool isSuspect = found->second.state == QuarantineState::Suspect;
        return isSuspect && this->isOnProbation(suspect) ? QuarantineState::Probation : found->second.state;
    }

    bool isQuarantined(const Suspect& suspect) const
    {
        auto found = this->records.find(suspect);
        return found != this->records.end() && found->second.state == QuarantineState::Quarantined;
    }

    void setOnStateChanged(Quarantine::StateCallback callback) { this->onStateChanged = std::move(callback); }

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
        auto found = this->records.find(suspect);
        if (found != this->records.end() && found->second.state == QuarantineState::Suspect)
            this->release(suspect);
    }

    void quarantine(const Suspect& suspect)
    {
        Record& record = this->recordOf(suspect);
        if (record.state == QuarantineState::Quarantined)
            return;
        record.state = QuarantineState::Quarantined;
        this->quarantineOrder.splice(this->quarantineOrder.end(), this->suspectOrder, record.position);
        this->noteState(suspect, true);
        for (const auto& [crash, loss] : record.crashes)
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
        for (const auto& [crash, loss] : record.crashes)
            this->removeLost(suspect, crash);
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
        return this->records.emplace(suspect, Record { QuarantineState::Suspect, {}, position })
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
        for (const auto& [crash, loss] : record.crashes) {
            if (isPart ? this->isExplainedByPart(crash) : this->explained.contains(crash))
                continue;
            ++crashes;
            requests.insert(loss.request);
        }
        return isPart ? static_cast<std::uint32_t>(requests.size()) : crashes;
    }

    /// Trials that were lost in crashes which nothing else explains.
    std::uint32_t countFailedTrials(const Record& record) const
    {
        return static_cast<std::uint32_t>(
            std::count_if(record.crashes.begin(), record.crashes.end(), [this](const auto& each) {
                return each.second.wasTrial && !this->explained.contains(each.first);
            }));
    }

    /// True if crashes alone do not show that the suspect causes them.
    bool needsTrials(const Suspect& suspect, const Record& record) const
    {
        return suspect.kind == SuspectKind::Request && record.wasAnswered()
            && this->countFailedTrials(record) < this->limits.failedTrials;
    }

    bool isOnProbation(const Suspect& suspect) const
    {
        const Record& record = this->records.at(suspect);
        std::uint32_t crashes = this->countCrashes(suspect, record);
        return crashes >= this->limits.crashes && this->needsTrials(suspect, record)
            && !this->wasProbablyBeside(suspect, crashes);
    }

    void addCrash(const LostSuspect& lost, const ServerCrash& crash)
    {
        Record& record = this->recordOf(lost.suspect);
        bool wasAnswered = record.wasAnswered();
        bool isNew = !record.crashes.contains(crash);
        if (isNew && record.crashes.size() >= MaxCrashes && !lost.wasTrial)
            return;
        Loss& loss = record.crashes.try_emplace(crash, Loss { lost.request }).first->second;
        this->lostIn[crash].insert(lost.suspect);
        // Another process may know more of a crash on record.
        loss.wasAnswered = loss.wasAnswered || lost.wasAnswered;
        loss.wasTrial = loss.wasTrial || lost.wasTrial;
        if (record.state != QuarantineState::Quarantined)
            return;
        if (!wasAnswered && lost.wasAnswered)
            this->makeSuspect(lost.suspect, record);
        else if (isNew)
            this->explained[crash].insert(lost.suspect);
    }

    /// Takes a quarantine back.
    void makeSuspect(const Suspect& suspect, Record& record)
    {
        record.state = QuarantineState::Suspect;
        this->suspectOrder.splice(this->suspectOrder.end(), this->quarantineOrder, record.position);
        this->unexplain(suspect, record);
        this->noteState(suspect, false);
    }

    void noteState(const Suspect& suspect, bool isQuarantined) const
    {
        if (this->onStateChanged)
            this->onStateChanged(suspect, isQuarantined);
    }

    void removeLost(const Suspect& suspect, const ServerCrash& crash)
    {
        auto found = this->lostIn.find(crash);
        found->second.erase(suspect);
        if (found->second.empty())
            this->lostIn.erase(found);
    }

    void unexplain(const Suspect& suspect, const Record& record)
    {
        for (const auto& [crash, loss] : record.crashes) {
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
            this->makeSuspect(suspect, record);
        }
    }

    /// True if the suspect was answered shortly before, and something that was not shares all or all but one
    /// of its `crashes` that are not explained, which are two or more.
    bool wasProbablyBeside(const Suspect& suspect, std::uint32_t crashes) const
    {
        const Record& own = this->records.at(suspect);
        if (!own.wasAnswered())
            return false;
        std::unordered_map<Suspect, std::uint32_t> shared;
        for (const auto& [crash, loss] : own.crashes) {
            if (this->explained.contains(crash))
                continue;
            for (const Suspect& other : this->lostIn.at(crash)) {
                const Record& record = this->records.at(other);
                // A part of prompts that only the suspect itself had there is no other cause.
                if (other == suspect || record.crashes.at(crash).request == suspect.content
                    || record.wasAnswered())
                    continue;
                if (++shared[other] + 1 >= crashes)
                    return true;
            }
        }
        return false;
    }

    /// The suspects among `running` that were in most crashes, if these are enough.
    std::vector<Suspect> mostCrashing(const std::set<Suspect>& running) const
    {
        std::vector<Suspect> result;
        std::uint32_t most = 0;
        for (const Suspect& suspect : running) {
            const Record& record = this->records.at(suspect);
            std::uint32_t crashes = this->countCrashes(suspect, record);
            bool isEnough = crashes >= this->limitOf(suspect);
            if (record.state != QuarantineState::Suspect || !isEnough || crashes < most
                || this->needsTrials(suspect, record) || this->wasProbablyBeside(suspect, crashes))
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
    /// Invariant: what the records have of each crash; no set is empty.
    std::map<ServerCrash, std::set<Suspect>> lostIn;
    Quarantine::StateCallback onStateChanged;
};

Quarantine::Quarantine(QuarantineLimits limits)
    : impl(std::make_unique<Impl>(limits))
{
}

Quarantine::~Quarantine() = default;

QuarantineState Quarantine::stateOf(const Suspect& suspect) const { return this->impl->stateOf(suspect); }

bool Quarantine::isQuarantined(const Suspect& suspect) const { return this->impl->isQuarantined(suspect); }

void Quarantine::setOnStateChanged(StateCallback callback)
{
    this->impl->setOnStateChanged(std::move(callback));
}

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
