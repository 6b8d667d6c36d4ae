// Records of crashes: evidence, lifetime and withdrawal.
#include "peridotgrade/core/quarantine/crash_registry.h"

#include <algorithm>
#include <set>

namespace peridotgrade {

namespace {

    /// When a record that became known at `recordedAt` no longer counts.
    TimePoint expiryOf(const Suspect& suspect, TimePoint recordedAt)
    {
        return recordedAt
            + (suspect.kind == SuspectKind::PromptPart ? Duration { CrashRegistry::PartLifetime }
                                                       : Duration { CrashRegistry::RequestLifetime });
    }

} // namespace

std::optional<Suspect> CrashRegistry::quarantinedAmong(const std::vector<Suspect>& suspects) const
{
    auto found = std::find_if(
        suspects.begin(), suspects.end(), [this](const Suspect& each) { return this->isQuarantined(each); });
    return found == suspects.end() ? std::nullopt : std::optional { *found };
}

bool CrashRegistry::mayRepeat(const std::vector<Suspect>& suspects) const
{
    return std::all_of(suspects.begin(), suspects.end(), [this](const Suspect& each) {
        return !this->isQuarantined(each) && this->crashesOf(each) < MaxRepeatedCrashes;
    });
}

std::optional<Duration> CrashRegistry::heldFor(const Suspect& suspect, TimePoint now) const
{
    if (!this->isQuarantined(suspect))
        return std::nullopt;
    TimePoint last = now;
    auto record = this->entries.lower_bound({ suspect, {} });
    for (; record != this->entries.end() && record->first.first == suspect; ++record)
        last = std::max(last, expiryOf(suspect, record->second.recordedAt));
    return last - now;
}

std::vector<ServerCrash> CrashRegistry::crashesOnRecord(const Suspect& suspect) const
{
    std::vector<ServerCrash> result;
    auto record = this->entries.lower_bound({ suspect, {} });
    for (; record != this->entries.end() && record->first.first == suspect; ++record)
        result.push_back(record->first.second);
    return result;
}

std::shared_ptr<Trial> CrashRegistry::beginTrial(const Suspect& suspect, TimePoint now)
{
    if (!this->isOnProbation(suspect))
        return nullptr;
    auto record = this->entries.lower_bound({ suspect, {} });
    for (; record != this->entries.end() && record->first.first == suspect; ++record) {
        if (now - record->second.recordedAt < TrialDelay)
            return nullptr;
    }
    auto last = this->trials.find(suspect);
    if (last != this->trials.end() && (!last->second.running.expired() || now < last->second.nextAt))
        return nullptr;
    auto trial = std::make_shared<Trial>();
    this->trials[suspect] = { now + TrialDelay, trial };
    return trial;
}

void CrashRegistry::noteTrial(const Suspect& suspect, TimePoint now)
{
    if (this->isOnProbation(suspect))
        this->trials[suspect].nextAt = now + TrialInterval;
}

void CrashRegistry::recordLoss(
    const ServerCrash& incarnation, const std::vector<Suspect>& suspects, TimePoint now, bool wasTrial)
{
    std::vector<LostSuspect> lost;
    for (const Suspect& suspect : suspects)
        lost.emplace_back(suspect, suspects.front().content);
    lost.front().wasTrial = wasTrial;
    if (this->lostRuns.recordLoss(incarnation, lost, now))
        this->recordCrash(incarnation, std::move(lost), now);
}

std::vector<Fingerprint> CrashRegistry::recordEnd(const ServerCrash& incarnation, TimePoint now)
{
    std::vector<LostSuspect> lost = this->lostRuns.recordEnd(incarnation, now);
    std::vector<Fingerprint> requests;
    for (const LostSuspect& each : lost) {
        if (each.suspect.kind == SuspectKind::Request)
            requests.push_back(each.request);
    }
    this->recordCrash(incarnation, std::move(lost), now);
    return requests;
}

void CrashRegistry::recordCrash(const ServerCrash& incarnation, std::vector<LostSuspect> lost, TimePoint now)
{
    std::erase_if(lost, [&](const LostSuspect& each) { return this->isAnsweredPart(each.suspect, now); });
    for (LostSuspect& each : lost)
        each.wasAnswered = this->isAnsweredRequest(each.suspect, now);
    this->add({ { incarnation, lost } }, now);
    for (const LostSuspect& each : lost) {
        if (this->callbacks.onRecorded)
            this->callbacks.onRecorded(
                { each.suspect, incarnation, each.request, each.wasAnswered, each.wasTrial });
    }
}

void CrashRegistry::recordAnswered(const std::vector<Suspect>& suspects, TimePoint now)
{
    for (const Suspect& suspect : suspects) {
        bool isPart = suspect.kind == SuspectKind::PromptPart;
        (isPart ? this->answeredParts : this->answeredRequests).record(suspect.content, now);
        QuarantineState state = this->quarantine.stateOf(suspect);
        if (state != QuarantineState::Clean && (isPart || state != QuarantineState::Quarantined))
            this->withdraw(suspect);
    }
}

bool CrashRegistry::isCleared(const std::vector<Suspect>& suspects, TimePoint now) const
{
    return std::all_of(suspects.begin(), suspects.end(), [&](const Suspect& each) {
        return each.kind == SuspectKind::PromptPart
            ? this->isAnsweredPart(each, now)
            : this->quarantine.stateOf(each) == QuarantineState::Clean;
    });
}

bool CrashRegistry::isAnsweredRequest(const Suspect& suspect, TimePoint now) const
{
    return suspect.kind == SuspectKind::Request && this->answeredRequests.contains(suspect.content, now);
}

bool CrashRegistry::isAnsweredPart(const Suspect& suspect, TimePoint now) const
{
    return suspect.kind == SuspectKind::PromptPart && this->answeredParts.contains(suspect.content, now);
}

void CrashRegistry::apply(const std::vector<CrashRecord>& published, TimePoint now)
{
    std::map<ServerCrash, std::vector<LostSuspect>> running;
    for (const CrashRecord& record : published) {
        if (this->isAnsweredPart(record.suspect, now)) {
            if (this->callbacks.onWithdrawn)
                this->callbacks.onWithdrawn(record);
            continue;
        }
        auto known = this->entries.find({ record.suspect, record.crash });
        bool isNews = known == this->entries.end() || (record.wasAnswered && !known->second.wasAnswered)
            || (record.wasTrial && !known->second.wasTrial);
        if (!isNews)
            continue;
        LostSuspect lost { record.suspect, record.request };
        lost.wasAnswered = record.wasAnswered;
        lost.wasTrial = record.wasTrial;
        if (!record.wasAnswered && this->isAnsweredRequest(record.suspect, now)) {
            lost.wasAnswered = true;
            this->publishAnswer(record);
        }
        running[record.crash].push_back(lost);
    }
    std::vector<CrashReport> reports;
    for (auto& [crash, lost] : running)
        reports.push_back({ crash, std::move(lost) });
    this->add(reports, now);
}

void CrashRegistry::publishAnswer(const CrashRecord& record)
{
    CrashRecord answered = record;
    answered.wasAnswered = true;
    if (this->callbacks.onRecorded)
        this->callbacks.onRecorded(answered);
}

void CrashRegistry::applyWithdrawal(const Suspect& suspect) { this->erase(suspect); }

bool CrashRegistry::release(const Suspect& suspect) { return this->withdraw(suspect); }

void CrashRegistry::expire(TimePoint now)
{
    std::set<Suspect> live;
    std::set<Suspect> ended;
    for (const auto& [record, entry] : this->entries)
        (expiryOf(record.first, entry.recordedAt) > now ? live : ended).insert(record.first);
    for (const Suspect& suspect : ended) {
        if (!live.contains(suspect))
            this->withdraw(suspect);
    }
}

std::vector<CrashRecord> CrashRegistry::records() const
{
    std::vector<CrashRecord> result;
    for (const auto& [record, entry] : this->entries)
        result.push_back({ record.first, record.second, entry.request, entry.wasAnswered, entry.wasTrial });
    return result;
}

void CrashRegistry::add(const std::vector<CrashReport>& reports, TimePoint now)
{
    for (const CrashReport& report : reports) {
        for (const LostSuspect& lost : report.running) {
            Entry& entry
                = this->entries.try_emplace({ lost.suspect, report.crash }, Entry { now, lost.request })
                      .first->second;
            entry.wasAnswered = entry.wasAnswered || lost.wasAnswered;
            entry.wasTrial = entry.wasTrial || lost.wasTrial;
        }
    }
    auto quarantinedNow = this->quarantine.recordCrashes(reports);
    this->dropOldest();
    this->updateProbation(reports);
    for (const Suspect& suspect : quarantinedNow) {
        if (this->callbacks.onQuarantined)
            this->callbacks.onQuarantined(suspect);
    }
}

void CrashRegistry::updateProbation(const std::vector<CrashReport>& reports)
{
    std::erase_if(this->probation, [this](const Suspect& each) { return !this->isOnProbation(each); });
    for (const CrashReport& report : reports) {
        for (const LostSuspect& lost : report.running) {
            if (!this->isOnProbation(lost.suspect) || !this->probation.insert(lost.suspect).second)
                continue;
            if (this->callbacks.onProbation)
                this->callbacks.onProbation(lost.suspect);
        }
    }
}

bool CrashRegistry::withdraw(const Suspect& suspect)
{
    std::vector<ServerCrash> crashes = this->crashesOnRecord(suspect);
    this->erase(suspect);
    for (const ServerCrash& crash : crashes) {
        if (this->callbacks.onWithdrawn)
            this->callbacks.onWithdrawn({ suspect, crash, {} });
    }
    return !crashes.empty();
}

void CrashRegistry::erase(const Suspect& suspect)
{
    auto first = this->entries.lower_bound({ suspect, {} });
    auto last = first;
    while (last != this->entries.end() && last->first.first == suspect)
        ++last;
    this->entries.erase(first, last);
    this->probation.erase(suspect);
    this->trials.erase(suspect);
    this->quarantine.release(suspect);
}

void CrashRegistry::dropOldest()
{
    while (this->entries.size() > MaxRecords) {
        // What is quarantined is dropped last.
        auto rank = [this](const auto& each) {
            const Suspect& suspect = each.first.first;
            return std::pair { this->isQuarantined(suspect), expiryOf(suspect, each.second.recordedAt) };
        };
        auto oldest = std::min_element(this->entries.begin(), this->entries.end(),
            [&](const auto& one, const auto& other) { return rank(one) < rank(other); });
        // A copy, since the record's own suspect ends with it.
        Suspect dropped = oldest->first.first;
        this->erase(dropped);
    }
}

} // namespace peridotgrade
