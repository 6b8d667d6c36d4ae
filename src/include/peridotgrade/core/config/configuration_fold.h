// The fold of the configuration's log stream: every node that reads the same records gets the same result.
#pragma once

#include "peridotgrade/core/config/configuration_codec.h"
#include "peridotgrade/core/config/configuration_record.h"
#include "peridotgrade/core/messages/log_record.h"
#include "peridotgrade/core/messages/version_messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// How a plan's confirmation ended.
enum class PlanFate : std::uint8_t {
    /// No record of it has been read.
    Unseen,
    InForce,
    /// It took effect and a later plan has been confirmed since.
    Superseded,
    /// Its base was not the version in force at its place in the log: it never takes effect.
    Void,
};

std::string_view nameOf(PlanFate fate);

/// What a fold did with one record.
struct FoldStep {
    enum class Kind : std::uint8_t { Applied, VoidPlan, Ignored, Malformed, Held };
    Kind kind = Kind::Ignored;
    PlanId plan;
    std::string detail;
};

/// Holds the configuration in force at one node and moves it forward, by log records or by a peer's snapshot.
/// After a gap in the records the last configuration stays in force, and confirmations are held back until a
/// snapshot bridges the gap: without the records in between nobody can tell which of them are void. Not
/// thread safe.
class ConfigurationFold {
public:
    ConfigurationFold() = default;

    /// The next record of the stream, in order of offset; records below `readThrough()` are ignored.
    FoldStep onRecord(const LogRecord& record);

    /// Records up to `oldest` are gone from the log and were not read.
    void onGap(LogOffset oldest);

    /// The stream was read to its end: from here on, a node that holds everything up to there is ready.
    void onCaughtUp(LogOffset next);

    /// A peer's configuration, adopted if it is newer. Gives the error if the text is none.
    std::variant<bool, ConfigError> onPeerSnapshot(const ConfigurationSnapshot& message);

    ConfigVersion version() const { return this->versionInForce; }
    const SiteConfiguration& configuration() const { return this->inForce; }
    std::uint64_t digest() const { return this->digestInForce; }

    /// Offset of the first record that this fold has not taken in.
    LogOffset readThrough() const { return this->next; }
    /// True while records are missing that only a snapshot can make up for.
    bool hasGap() const { return this->isGapped; }
    /// True once this node knows a version: it read the log to its end without a gap, or a peer gave one. An
    /// empty log counts, with version 0.
    bool isReady() const { return this->knowsVersion; }

    /// Newest last; bounded.
    const std::vector<HistoryEntry>& history() const { return this->plansInForce; }
    PlanFate fateOf(const PlanId& plan) const;
    /// The entry of a plan that took effect, or null.
    const HistoryEntry* historyOf(const PlanId& plan) const;

    /// The fold as a record for the log or a message for a peer. Behind a gap it reaches only through the
    /// version's own record; do not append it to the log then.
    Snapshot snapshot() const;
    ConfigurationSnapshot peerSnapshot() const;

    /// Append time of the first record that the best snapshot in the log does not cover. While the log keeps
    /// that record, a new reader finds the whole configuration there. Nothing if no snapshot was read.
    std::optional<WallTime> snapshotCoverage() const { return this->snapshotCoversFrom; }
    /// Append time of the first record that this node read.
    std::optional<WallTime> firstRecordAt() const { return this->firstReadAt; }
    /// When the last plan that took effect was appended.
    std::optional<WallTime> lastChangeAt() const;

private:
    struct HeldRecord {
        LogOffset offset;
        WallTime appendedAt;
        Confirmed confirmed;
    };

    struct RecordTime {
        LogOffset offset;
        WallTime at;
    };

    static constexpr std::size_t MaxRecentTimes = 1'024;

    FoldStep applyConfirmed(LogOffset offset, WallTime appendedAt, const Confirmed& confirmed);
    FoldStep applySnapshot(const Snapshot& snapshot);
    void takePeer(const Snapshot& snapshot);
    /// Closes the gap if the snapshot reaches over it.
    bool bridge(const Snapshot& snapshot);
    void adopt(const Snapshot& snapshot);
    void compare(const Snapshot& snapshot) const;
    void rememberTime(const LogRecord& record);
    void rememberSnapshot(const Snapshot& snapshot);
    void moveTo(ConfigVersion version, SiteConfiguration configuration);
    void rememberVoid(const PlanId& plan);

    SiteConfiguration inForce;
    /// Invariant: never falls.
    ConfigVersion versionInForce;
    std::uint64_t digestInForce = digestOf(SiteConfiguration {});
    /// Invariant: never falls.
    LogOffset next;
    bool isGapped = false;
    bool knowsVersion = false;
    /// First offset after the gap; meaningful while `isGapped`.
    LogOffset gapEnd;
    /// Invariant: empty while there is no gap; in order of offset.
    std::deque<HeldRecord> held;
    /// Invariant: ordered by version, at most MaxHistory entries.
    std::vector<HistoryEntry> plansInForce;
    std::deque<PlanId> voidPlans;
    /// Invariant: in order of offset, without a hole.
    std::deque<RecordTime> recentTimes;
    std::optional<WallTime> snapshotCoversFrom;
    std::optional<WallTime> firstReadAt;
};

} // namespace peridotgrade
