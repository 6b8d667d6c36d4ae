// Records of crashes: evidence, lifetime and withdrawal.
#include "peridotgrade/core/quarantine/crash_registry.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <xxhash.h>

namespace peridotgrade {

namespace {

    /// When a record that became known at `recordedAt` no longer counts.
    TimePoint expiryOf(const Suspect& suspect, TimePoint recordedAt)
    {
        return recordedAt
            + (suspect.kind == SuspectKind::PromptPart ? Duration { CrashRegistry::PartLifetime }
                                                       : Duration { CrashRegistry::RequestLifetime });
    }

    /// A suspect that a crash may leave on record.
    struct Candidate {
        Suspect suspect;
        std::uint32_t crashesBefore;
        /// Differs from crash to crash, and is the same at all entries.
        std::uint64_t lot;
    };

    std::uint64_t lotOf(const Suspect& suspect, const ServerCrash& crash)
    {
        std::string name = crash.server + '/' + std::to_string(crash.incarnation);
        return XXH3_64bits_withSeed(name.data(), name.size(), suspect.content.raw());
    }

    /// Those that a crash leaves no record of. Half of the room is for what has crashed most before, since
    /// that is the most suspect. The rest goes to any, so that what begins to crash servers while much else
    /// is suspect gets on record after some crashes.
    std::set<Suspect> withoutRoom(std::vector<Candidate> candidates, std::size_t room)
    {
        auto isEarlier = [](const Candidate& one, const Candidate& other) { return one.lot < other.lot; };
        std::sort(candidates.begin(), candidates.end(), [&](const Candidate& one, const Candidate& other) {
            return one.crashesBefore != other.crashesBefore ? one.crashesBefore > other.crashesBefore
                                                            : isEarlier(one, other);
        });
        std::sort(
            candidates.begin() + static_cast<std::ptrdiff_t>(room - room / 2), candidates.end(), isEarlier);
        std::set<Suspect> result;
        for (std::size_t i = room; i < candidates.size(); ++i)
            result.insert(candidates[i].suspect);
        return result;
    }

} // namespace

CrashRegistry::CrashRegistry()
{
    this->quarantine.setOnStateChanged([this](const Suspect& suspect, bool isQuarantined) {
        auto found = this->suspects.find(suspect);
        if (found == this->suspects.end())
            return;
        this->dropOrder.erase(rankOf(suspect, found->second));
        found->second.isQuarantined = isQuarantined;
        this->dropOrder.insert(rankOf(suspect, found->second));
    });
}

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
    auto found = this->suspects.find(suspect);
    TimePoint last = found == this->suspects.end() ? now : expiryOf(suspect, found->second.recordedAt);
    return std::max(last, now) - now;
}

std::vector<ServerCrash> CrashRegistry::crashesOnRecord(const Suspect& suspect) const
{
    std::vector<ServerCrash> result;
    auto found = this->suspects.find(suspect);
    if (found == this->suspects.end())
        return result;
    for (const auto& [crash, entry] : found->second.entries)
        result.push_back(crash);
    return result;
}

std::shared_ptr<Trial> CrashRegistry::beginTrial(const Suspect& suspect, TimePoint now)
{
    if (!this->isOnProbation(suspect))
        return nullptr;
    auto records = this->suspects.find(suspect);
    if (records != this->suspects.end() && now - records->second.recordedAt < TrialDelay)
        return nullptr;
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
    this->limitToRoom(incarnation, lost);
    for (LostSuspect& each : lost)
        each.wasAnswered = this->isAnsweredRequest(each.suspect, now);
    this->add({ { incarnation, lost } }, {}, now);
    for (const LostSuspect& each : lost) {
        if (this->callbacks.onRecorded)
            this->callbacks.onRecorded(
                { each.suspect, incarnation, each.request, each.wasAnswered, each.wasTrial });
    }
}

void CrashRegistry::limitToRoom(const ServerCrash& crash, std::vector<LostSuspect>& lost) const
{
    auto found = this->recordsOfCrashes.find(crash);
    RecordsOfCrash taken = found == this->recordsOfCrashes.end() ? RecordsOfCrash {} : found->second;
    std::size_t share = std::max(MaxRecordsOfCrash / this->entryCount, MinShareOfCrash);
    for (SuspectKind kind : { SuspectKind::Request, SuspectKind::PromptPart }) {
        std::vector<Candidate> added;
        for (const LostSuspect& each : lost) {
            if (each.suspect.kind == kind && this->isNews({ each.suspect, crash }))
                added.push_back({ each.suspect, this->crashesOf(each.suspect), lotOf(each.suspect, crash) });
        }
        std::size_t count = kind == SuspectKind::Request ? taken.requests : taken.parts;
        std::size_t room = std::min(share, MaxRecordsOfCrash - std::min(MaxRecordsOfCrash, count));
        if (added.size() <= room)
            continue;
        std::set<Suspect> left = withoutRoom(std::move(added), room);
        std::erase_if(lost, [&](const LostSuspect& each) { return left.contains(each.suspect); });
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
    std::map<Suspect, LogOffset> offsets;
    for (auto each = published.begin(); each != published.end(); ++each) {
        const CrashRecord& record = *each;
        if (this->isAnsweredPart(record.suspect, now)) {
            if (this->callbacks.onWithdrawn)
                this->callbacks.onWithdrawn(record);
            continue;
        }
        this->latestOffset = std::max(this->latestOffset, record.offset);
        // A listing has the records of a suspect one after the other.
        bool isOnlyOne = (each == published.begin() || std::prev(each)->suspect != record.suspect)
            && (std::next(each) == published.end() || std::next(each)->suspect != record.suspect);
        if (isOnlyOne && this->isOlderThanAll(record)) {
            this->noteDropped({ record.suspect, record.crash, {} });
            continue;
        }
        if (!this->isNews(record)) {
            this->noteOffset(record.suspect, record.offset);
            continue;
        }
        LostSuspect lost { record.suspect, record.request };
        lost.wasAnswered = record.wasAnswered;
        lost.wasTrial = record.wasTrial;
        offsets[record.suspect] = record.offset;
        if (!record.wasAnswered && this->isAnsweredRequest(record.suspect, now)) {
            lost.wasAnswered = true;
            this->publishAnswer(record);
        }
        running[record.crash].push_back(lost);
    }
    std::vector<CrashReport> reports;
    for (auto& [crash, lost] : running)
        reports.push_back({ crash, std::move(lost) });
    this->add(reports, offsets, now);
}

bool CrashRegistry::isOlderThanAll(const CrashRecord& record) const
{
    if (this->recordCount < MaxRecords || record.offset == LogOffset {} || this->isOnRecord(record.suspect))
        return false;
    const auto& [isQuarantined, oldest, suspect] = *this->dropOrder.begin();
    return !isQuarantined && record.offset < oldest;
}

bool CrashRegistry::isNews(const CrashRecord& record) const
{
    auto records = this->suspects.find(record.suspect);
    if (records == this->suspects.end())
        return true;
    auto known = records->second.entries.find(record.crash);
    return known == records->second.entries.end() || (record.wasAnswered && !known->second.wasAnswered)
        || (record.wasTrial && !known->second.wasTrial);
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
    while (!this->expiryOrder.empty() && this->expiryOrder.begin()->first <= now) {
        // A copy, since the element ends with the records.
        Suspect ended = this->expiryOrder.begin()->second;
        this->withdraw(ended);
    }
}

std::vector<CrashRecord> CrashRegistry::records() const
{
    std::vector<CrashRecord> result;
    for (const auto& [suspect, records] : this->suspects) {
        for (const auto& [crash, entry] : records.entries)
            result.push_back({ suspect, crash, entry.request, entry.wasAnswered, entry.wasTrial });
    }
    return result;
}

void CrashRegistry::add(
    const std::vector<CrashReport>& reports, const std::map<Suspect, LogOffset>& offsets, TimePoint now)
{
    for (const CrashReport& report : reports) {
        for (const LostSuspect& lost : report.running) {
            auto offset = offsets.find(lost.suspect);
            this->addEntry(
                lost, report.crash, offset == offsets.end() ? this->latestOffset : offset->second, now);
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

void CrashRegistry::addEntry(
    const LostSuspect& lost, const ServerCrash& crash, LogOffset offset, TimePoint now)
{
    const Suspect& suspect = lost.suspect;
    auto [found, isNewSuspect] = this->suspects.try_emplace(suspect);
    SuspectRecords& records = found->second;
    auto [entry, isNewEntry] = records.entries.try_emplace(crash, Entry { lost.request });
    entry->second.wasAnswered = entry->second.wasAnswered || lost.wasAnswered;
    entry->second.wasTrial = entry->second.wasTrial || lost.wasTrial;
    if (!isNewEntry)
        return;
    ++this->recordCount;
    RecordsOfCrash& counts = this->recordsOfCrashes[crash];
    ++(suspect.kind == SuspectKind::Request ? counts.requests : counts.parts);
    if (!isNewSuspect)
        this->removeFromOrders(suspect, records);
    records.recordedAt = now;
    records.offset = std::max(records.offset, offset);
    this->dropOrder.insert(rankOf(suspect, records));
    this->expiryOrder.emplace(expiryOf(suspect, records.recordedAt), suspect);
}

void CrashRegistry::noteOffset(const Suspect& suspect, LogOffset offset)
{
    auto found = this->suspects.find(suspect);
    if (found == this->suspects.end() || offset <= found->second.offset)
        return;
    this->dropOrder.erase(rankOf(suspect, found->second));
    found->second.offset = offset;
    this->dropOrder.insert(rankOf(suspect, found->second));
}

void CrashRegistry::removeFromOrders(const Suspect& suspect, const SuspectRecords& records)
{
    this->dropOrder.erase(rankOf(suspect, records));
    this->expiryOrder.erase({ expiryOf(suspect, records.recordedAt), suspect });
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
    std::map<ServerCrash, Entry> erased = this->erase(suspect);
    for (const auto& [crash, entry] : erased) {
        if (this->callbacks.onWithdrawn)
            this->callbacks.onWithdrawn({ suspect, crash, {} });
    }
    return !erased.empty();
}

std::map<ServerCrash, CrashRegistry::Entry> CrashRegistry::erase(const Suspect& suspect)
{
    this->quarantine.release(suspect);
    this->probation.erase(suspect);
    this->trials.erase(suspect);
    auto found = this->suspects.find(suspect);
    if (found == this->suspects.end())
        return {};
    this->removeFromOrders(suspect, found->second);
    this->recordCount -= found->second.entries.size();
    for (const auto& [crash, entry] : found->second.entries) {
        auto counted = this->recordsOfCrashes.find(crash);
        RecordsOfCrash& counts = counted->second;
        --(suspect.kind == SuspectKind::Request ? counts.requests : counts.parts);
        if (counts.requests + counts.parts == 0)
            this->recordsOfCrashes.erase(counted);
    }
    std::map<ServerCrash, Entry> entries = std::move(found->second.entries);
    this->suspects.erase(found);
    return entries;
}

void CrashRegistry::dropOldest()
{
    while (this->recordCount > MaxRecords) {
        // A copy, since the rank ends with the records.
        Suspect oldest = std::get<Suspect>(*this->dropOrder.begin());
        std::map<ServerCrash, Entry> erased = this->erase(oldest);
        for (const auto& [crash, entry] : erased)
            this->noteDropped({ oldest, crash, {} });
    }
}

void CrashRegistry::noteDropped(const CrashRecord& record) const
{
    if (this->callbacks.onDropped)
        this->callbacks.onDropped(record);
}

} // namespace peridotgrade
