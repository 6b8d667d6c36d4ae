// The software versions of a service's servers over time.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_record.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotgrade {

/// Tells at which versions streams may have begun that callers can still resume. Entries begin resumable
/// streams only at versions that are on record in the store, and put a version on record only `SettleTime`
/// after it was listed. An entry that has read these records when it started, and whose list is no older than
/// `MaxListAge`, thus knows every such version: those on record then and those listed since. A version counts
/// until it has been neither listed nor found on record for `Memory`. Not thread safe.
class VersionHistory {
public:
    /// Longer than callers resume a stream after its server has left the list, which servers outlive by many
    /// seconds.
    static constexpr std::chrono::seconds Memory { 120 };
    /// The list of servers is read every 1.4 s; one that is older than two reads may lack a new version.
    static constexpr std::chrono::milliseconds MaxListAge { 3000 };
    static constexpr std::chrono::milliseconds SettleTime { 3500 };
    static_assert(SettleTime > MaxListAge);
    /// A version that is listed again after a longer absence has to settle again: other entries may have
    /// stopped to count it.
    static constexpr std::chrono::seconds MaxAbsence { 60 };

    /// Sets the versions that are listed now.
    void update(const std::set<SoftwareVersion>& listed, TimePoint now);
    /// Sets the versions that are on record.
    void setRecorded(const std::set<SoftwareVersion>& recorded, TimePoint now);
    /// One more is.
    void noteRecorded(const SoftwareVersion& version, TimePoint now);
    /// True if a resumable stream may begin at the version.
    bool isRecorded(const SoftwareVersion& version) const;
    std::vector<SoftwareVersion> recorded() const;
    /// Listed versions that are not on record.
    std::vector<SoftwareVersion> unrecorded() const;
    /// Those of them that have been listed for `SettleTime`.
    std::vector<SoftwareVersion> settled(TimePoint now) const;
    /// When the next one will have been; nothing if there is none.
    std::optional<TimePoint> nextSettledAt() const;
    /// True if the version counts.
    bool counts(const SoftwareVersion& version, TimePoint now) const;
    /// True if more than one version counts.
    bool isMixed(TimePoint now) const;
    /// The version, if exactly one counts.
    std::optional<SoftwareVersion> onlyVersion(TimePoint now) const;
    /// The versions that count, with commas between them; for logs.
    std::string text(TimePoint now) const;
    /// How long the versions have been observed.
    Duration observedFor(TimePoint now) const { return this->since ? now - *this->since : Duration::zero(); }

private:
    struct Version {
        /// When it was last seen to leave the list, or found on record without being listed; nothing while it
        /// is listed.
        std::optional<TimePoint> goneAt;
        /// Valid while it is listed.
        TimePoint listedSince {};
        bool wasListed = false;
        bool isRecorded = false;

        bool countsAt(TimePoint now) const { return !this->goneAt || now < *this->goneAt + Memory; }
    };

    void forgetOld(TimePoint now);

    std::map<SoftwareVersion, Version> versions;
    /// The first update; nothing before.
    std::optional<TimePoint> since;
};

} // namespace peridotgrade
