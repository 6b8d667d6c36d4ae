// What the entries know together of the requests and parts of prompts that crash servers.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/quarantine/answered_parts.h"
#include "peridotgrade/core/quarantine/lost_runs.h"
#include "peridotgrade/core/quarantine/quarantine.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace peridotgrade {

/// A trial of a request on probation. The next one may begin once its owners have given it up.
class Trial { };

/// A suspect was running on a server when it crashed. The entries share such records: each counts those of
/// all of them, so that three crashes at three entries quarantine a request at every one.
struct CrashRecord {
    Suspect suspect;
    ServerCrash crash;
    /// A request that had the suspect there.
    Fingerprint request;
    /// A request that an entry had seen answered shortly before.
    bool wasAnswered = false;
    /// A request on probation that was sent as a trial.
    bool wasTrial = false;
    /// Its place in the log that the entries share; zero if it is not read from there.
    LogOffset offset {};

    // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const CrashRecord&, const CrashRecord&) = default;
};

/// Decides which requests may be sent to servers, from the crashes that this entry has seen and those that
/// other entries have published. A request that was running in three crashes is quarantined, and so is a
/// shared part of prompts that was lost with four different requests, with all requests that have it. What
/// has counted twice is no longer repeated by the entry itself, but sent if its caller sends it again. A
/// complete answer clears a request that is suspect, and a part of prompts whatever it is: servers that
/// answer it do not crash of it. A request that was answered of late is not quarantined for its crashes
/// alone: it is not held if another one, not answered of late, shares them, and else it is on probation,
/// where it is sent as a trial only. Parts that this entry has seen answered of late are not recorded, and
/// others' records of them are withdrawn, so that the parts that most requests share need no records. A crash
/// of a server with many runs leaves a bounded number of records. Adding, withdrawing and dropping a record
/// take logarithmic time. Not thread safe.
class CrashRegistry {
public:
    /// Bounds the memory at some megabytes. The oldest suspects are dropped first, what is quarantined last.
    static constexpr std::size_t MaxRecords = 8192;
    /// Of one crash, requests and parts of prompts each. Each entry has its share of it, and the smallest
    /// share at least.
    static constexpr std::size_t MaxRecordsOfCrash = 512;
    static constexpr std::size_t MinShareOfCrash = 32;
    /// Records are dropped here first, so the quarantine never evicts a suspect that is on record.
    static constexpr QuarantineLimits Limits { 2 * MaxRecords, 3, 4 };
    /// What has counted so often is not repeated within one attempt of its caller.
    static constexpr std::uint32_t MaxRepeatedCrashes = 2;
    /// A crash counts for this long after it became known here.
    static constexpr std::chrono::hours RequestLifetime { 1 };
    /// Shorter, since a part that is held wrongly rejects the requests of many callers.
    static constexpr std::chrono::minutes PartLifetime { 10 };
    /// From the last crash to a trial, and from one that could not begin to the next: other runs that were
    /// under way have mostly ended by then.
    static constexpr std::chrono::seconds TrialDelay { 1 };
    /// From the begin of one trial to that of the next.
    static constexpr std::chrono::seconds TrialInterval { 2 };

    struct Callbacks {
        /// This entry has seen a crash that others should know of.
        std::function<void(const CrashRecord&)> onRecorded;
        /// A record no longer counts, here or anywhere.
        std::function<void(const CrashRecord&)> onWithdrawn;
        /// A suspect is quarantined from now on.
        std::function<void(const Suspect&)> onQuarantined;
        /// A request is on probation from now on.
        std::function<void(const Suspect&)> onProbation;
        /// A record has been dropped for room, as it will be by the other entries.
        std::function<void(const CrashRecord&)> onDropped;
    };

    CrashRegistry();
    void setCallbacks(Callbacks newCallbacks) { this->callbacks = std::move(newCallbacks); }

    /// The number of entries that share the records.
    void setEntryCount(std::uint32_t entries) { this->entryCount = entries; }

    bool isQuarantined(const Suspect& suspect) const { return this->quarantine.isQuarantined(suspect); }
    /// A record of the suspect counts.
    bool isOnRecord(const Suspect& suspect) const { return this->suspects.contains(suspect); }
    /// The suspect of a request for which it may not be sent, if there is one.
    std::optional<Suspect> quarantinedAmong(const std::vector<Suspect>& suspects) const;
    bool isOnProbation(const Suspect& suspect) const
    {
        return this->quarantine.stateOf(suspect) == QuarantineState::Probation;
    }
    /// All that is on probation.
    std::vector<Suspect> onProbation() const { return { this->probation.begin(), this->probation.end() }; }
    /// Begins a trial of a request on probation. Null if one is running, or the last one or the last crash
    /// was too short a time ago.
    std::shared_ptr<Trial> beginTrial(const Suspect& suspect, TimePoint now);
    /// Another entry has begun a trial, or this one may.
    void noteTrial(const Suspect& suspect, TimePoint now);
    /// False if the entry may not send a request with these suspects once more by itself.
    bool mayRepeat(const std::vector<Suspect>& suspects) const;
    std::uint32_t crashesOf(const Suspect& suspect) const { return this->quarantine.crashesOf(suspect); }
    /// How much longer the suspect is held; nothing if it is not quarantined.
    std::optional<Duration> heldFor(const Suspect& suspect, TimePoint now) const;
    std::vector<Suspect> quarantined() const { return this->quarantine.quarantined(); }
    /// Crashes on record of one suspect.
    std::vector<ServerCrash> crashesOnRecord(const Suspect& suspect) const;

    /// The connection of a request to a server was lost while it may have been running there. The first of
    /// its suspects is the request itself, which `wasTrial` is about.
    void recordLoss(const ServerCrash& incarnation, const std::vector<Suspect>& suspects, TimePoint now,
        bool wasTrial = false);
    /// That incarnation of a server has ended. Returns the requests that were lost there.
    std::vector<Fingerprint> recordEnd(const ServerCrash& incarnation, TimePoint now);
    /// The incarnations of a server with lost requests, of which it is not known whether they have ended.
    std::vector<ServerCrash> undecided(const std::string& server, TimePoint now)
    {
        return this->lostRuns.undecided(server, now);
    }
    /// A server has answered a request with these suspects completely.
    void recordAnswered(const std::vector<Suspect>& suspects, TimePoint now);
    /// True if another complete answer would show nothing new: the request is not suspect, and its parts have
    /// been answered of late.
    bool isCleared(const std::vector<Suspect>& suspects, TimePoint now) const;

    /// Other entries have published these records.
    void apply(const std::vector<CrashRecord>& published, TimePoint now);
    /// Another entry has withdrawn a record of the suspect.
    void applyWithdrawal(const Suspect& suspect);
    /// An operator releases the suspect. Returns false if nothing was known of it.
    bool release(const Suspect& suspect);
    /// Withdraws the records whose lifetime has ended.
    void expire(TimePoint now);
    /// Every record that counts.
    std::vector<CrashRecord> records() const;

private:
    struct Entry {
        Fingerprint request;
        bool wasAnswered = false;
        bool wasTrial = false;
    };
    /// All records of one suspect.
    struct SuspectRecords {
        /// Invariant: not empty.
        std::map<ServerCrash, Entry> entries;
        /// When the latest record became known.
        TimePoint recordedAt;
        /// Of the record that is last in the log.
        LogOffset offset;
        bool isQuarantined = false;
    };
    struct LastTrial {
        TimePoint nextAt;
        std::weak_ptr<Trial> running;
    };
    /// The first is dropped first.
    using DropRank = std::tuple<bool, LogOffset, Suspect>;
    struct RecordsOfCrash {
        std::size_t requests = 0;
        std::size_t parts = 0;
    };

    /// Records what was lost in a crash that this entry has seen, and publishes it.
    void recordCrash(const ServerCrash& incarnation, std::vector<LostSuspect> lost, TimePoint now);
    /// Removes what exceeds the records that a crash may leave.
    void limitToRoom(const ServerCrash& crash, std::vector<LostSuspect>& lost) const;
    /// Publishes that this entry has seen a request answered before a crash which another one has recorded.
    void publishAnswer(const CrashRecord& record);
    /// Looks which of the suspects are on probation.
    void updateProbation(const std::vector<CrashReport>& reports);
    bool isAnsweredRequest(const Suspect& suspect, TimePoint now) const;
    bool isAnsweredPart(const Suspect& suspect, TimePoint now) const;
    bool isNews(const CrashRecord& record) const;
    /// There is no room for the record, as the first to be dropped.
    bool isOlderThanAll(const CrashRecord& record) const;
    /// What has no offset here is newer than all that has been read from the log.
    void add(
        const std::vector<CrashReport>& reports, const std::map<Suspect, LogOffset>& offsets, TimePoint now);
    void addEntry(const LostSuspect& lost, const ServerCrash& crash, LogOffset offset, TimePoint now);
    /// A record of the suspect has that place in the log.
    void noteOffset(const Suspect& suspect, LogOffset offset);
    bool withdraw(const Suspect& suspect);
    /// Returns the records that it had.
    std::map<ServerCrash, Entry> erase(const Suspect& suspect);
    void removeFromOrders(const Suspect& suspect, const SuspectRecords& records);
    void dropOldest();
    void noteDropped(const CrashRecord& record) const;
    static DropRank rankOf(const Suspect& suspect, const SuspectRecords& records)
    {
        return { records.isQuarantined, records.offset, suspect };
    }

    Callbacks callbacks;
    Quarantine quarantine { Limits };
    LostRuns lostRuns;
    AnsweredParts answeredParts;
    AnsweredParts answeredRequests;
    /// Invariant: at most `MaxRecords` entries, which `recordCount` counts.
    std::map<Suspect, SuspectRecords> suspects;
    std::size_t recordCount = 0;
    /// Invariant: one of each suspect, as its records have it.
    std::set<DropRank> dropOrder;
    /// The suspects by the time at which their latest record expires. Invariant: as `dropOrder`.
    std::set<std::pair<TimePoint, Suspect>> expiryOrder;
    /// Invariant: counts the entries; none is zero.
    std::map<ServerCrash, RecordsOfCrash> recordsOfCrashes;
    /// Of the record read last from the log: what this entry records is newer.
    LogOffset latestOffset;
    /// Invariant: at least 1.
    std::uint32_t entryCount = 1;
    /// Invariant: of suspects with records only.
    std::set<Suspect> probation;
    /// Invariant: of suspects with records only.
    std::map<Suspect, LastTrial> trials;
};

} // namespace peridotgrade
