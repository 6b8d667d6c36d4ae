// A node's replica of the configuration, built from the log stream: equal records give equal replicas.
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

/// What became of a plan's confirmation.
enum class PlanStatus : std::uint8_t {
    /// No confirmation of the plan has been read.
    Unseen,
    InForce,
    /// The plan took effect and a later plan has replaced it.
    Superseded,
    /// The plan's base was not the version in force at the record's offset, so the plan never takes effect.
    Void,
};

std::string_view nameOf(PlanStatus status);

/// What applying one record did.
struct ApplyResult {
    enum class Kind : std::uint8_t { Applied, VoidPlan, Ignored, Malformed, Buffered };
    Kind kind = Kind::Ignored;
    PlanId plan;
    std::string detail;
};

/// Holds the configuration in force at one node and advances it by log records or by a peer's snapshot. After
/// a gap in the records the last configuration stays in force, and confirmations are buffered until a
/// snapshot closes the gap: without the missing records it is unknown which of the confirmations are void.
/// Not thread safe.
class ConfigurationReplica {
public:
    ConfigurationReplica() = default;

    /// Applies the next record of the stream, in offset order; records below `nextOffset()` are ignored.
    ApplyResult onRecord(const LogRecord& record);

    /// The log has dropped the records before `oldest`, and this replica has not read all of them.
    void onGap(LogOffset oldest);

    /// The stream has been read to its end, `logEnd`; a replica that has every record before it is
    /// ready from now on.
    void onCaughtUp(LogOffset logEnd);

    /// Adopts a peer's configuration if it is newer, and returns whether the version advanced. Returns an
    /// error if the message contains no snapshot.
    std::variant<bool, ConfigError> onPeerSnapshot(const ConfigurationSnapshot& message);

    ConfigVersion version() const { return this->versionInForce; }
    const SiteConfiguration& configuration() const { return this->inForce; }
    std::uint64_t digest() const { return this->digestInForce; }

    /// Offset of the first record that this replica has not read.
    LogOffset nextOffset() const { return this->next; }
    /// True while records are missing that only a snapshot can replace.
    bool hasGap() const { return this->isGapped; }
    /// True once this node knows a version: it has read the log to its end without a gap, or a peer has sent
    /// a snapshot. An empty log counts, with version 0.
    bool isReady() const { return this->knowsVersion; }

    /// Plans that took effect, newest last; bounded.
    const std::vector<HistoryEntry>& history() const { return this->planHistory; }
    PlanStatus planStatus(const PlanId& plan) const;
    /// The history entry of a plan that took effect, or null.
    const HistoryEntry* historyOf(const PlanId& plan) const;

    /// The replica as a record for the log or a message for a peer. While there is a gap, the snapshot covers
    /// the log only up to the record that made the version in force; it must not be appended to the log then.
    Snapshot snapshot() const;
    ConfigurationSnapshot peerSnapshot() const;

    /// Append time of the first record that the best snapshot in the log does not cover. While the log
    /// retains that record, a new reader can rebuild the whole configuration from the log. Empty if no
    /// snapshot was read.
    std::optional<WallTime> snapshotCoverage() const { return this->snapshotCoversFrom; }
    /// Append time of the first record that this node read.
    std::optional<WallTime> firstRecordAt() const { return this->firstReadAt; }
    /// When the confirmation of the last plan that took effect was appended.
    std::optional<WallTime> lastChangeAt() const;

private:
    struct BufferedRecord {
        LogOffset offset;
        WallTime appendedAt;
        PlanConfirmation confirmed;
    };

    struct RecordTime {
        LogOffset offset;
        WallTime at;
    };

    static constexpr std::size_t MaxRecentTimes = 1'024;

    ApplyResult applyConfirmed(LogOffset offset, WallTime appendedAt, const PlanConfirmation& confirmed);
    ApplyResult applySnapshot(const Snapshot& snapshot);
    void applyPeerSnapshot(const Snapshot& snapshot);
    /// Closes the gap if the snapshot covers it, and returns whether it did.
    bool closeGap(const Snapshot& snapshot);
    void adopt(const Snapshot& snapshot);
    void checkSameContent(const Snapshot& snapshot) const;
    void rememberTime(const LogRecord& record);
    void rememberSnapshot(const Snapshot& snapshot);
    void advanceTo(ConfigVersion version, SiteConfiguration configuration);
    void rememberVoid(const PlanId& plan);

    SiteConfiguration inForce;
    /// Invariant: never decreases.
    ConfigVersion versionInForce;
    std::uint64_t digestInForce = digestOf(SiteConfiguration {});
    /// Invariant: never decreases.
    LogOffset next;
    bool isGapped = false;
    bool knowsVersion = false;
    /// First offset after the gap; meaningful while `isGapped`.
    LogOffset gapEnd;
    /// Invariant: empty while there is no gap; in offset order.
    std::deque<BufferedRecord> bufferedRecords;
    /// Invariant: ordered by version; its size is at most MaxHistoryEntries.
    std::vector<HistoryEntry> planHistory;
    std::deque<PlanId> voidPlans;
    /// Invariant: in offset order, without holes.
    std::deque<RecordTime> recentTimes;
    std::optional<WallTime> snapshotCoversFrom;
    std::optional<WallTime> firstReadAt;
};

} // namespace peridotgrade
