// Applies log records and peer snapshots to the replica of the configuration.
#include "peridotgrade/core/config/configuration_replica.h"

#include "peridotgrade/core/base/invariant.h"
#include "peridotgrade/core/base/name_table.h"

#include <algorithm>
#include <utility>

namespace peridotgrade {

namespace {

    constexpr auto StatusNames
        = std::to_array<std::string_view>({ "unseen", "in_force", "superseded", "void" });

    constexpr std::size_t MaxHistoryEntries = 256;
    constexpr std::size_t MaxVoidPlans = 256;

    ApplyResult resultOf(ApplyResult::Kind kind, PlanId plan, std::string detail)
    {
        return { kind, std::move(plan), std::move(detail) };
    }

} // namespace

std::string_view nameOf(PlanStatus status) { return nameAt(StatusNames, status); }

ApplyResult ConfigurationReplica::onRecord(const LogRecord& record)
{
    if (record.offset < this->next)
        return resultOf(ApplyResult::Kind::Ignored, {}, "already read");
    this->next = LogOffset { record.offset.raw() + 1 };
    this->rememberTime(record);
    auto decoded = decodeRecord(record.data);
    if (auto* error = std::get_if<ConfigError>(&decoded))
        return resultOf(ApplyResult::Kind::Malformed, {}, error->detail);
    const ConfigurationRecord& content = std::get<ConfigurationRecord>(decoded);
    if (const auto* snapshot = std::get_if<Snapshot>(&content))
        return this->applySnapshot(*snapshot);
    const auto& confirmed = std::get<PlanConfirmation>(content);
    if (this->isGapped) {
        this->bufferedRecords.push_back({ record.offset, record.appendedAt, confirmed });
        return resultOf(ApplyResult::Kind::Buffered, confirmed.plan, "records before it are missing");
    }
    return this->applyConfirmed(record.offset, record.appendedAt, confirmed);
}

void ConfigurationReplica::onGap(LogOffset oldest)
{
    if (oldest <= this->next)
        return;
    this->isGapped = true;
    this->gapEnd = oldest;
    this->next = oldest;
    this->bufferedRecords.clear();
    this->recentTimes.clear();
}

void ConfigurationReplica::onCaughtUp(LogOffset logEnd)
{
    if (!this->isGapped && this->next >= logEnd)
        this->knowsVersion = true;
}

ApplyResult ConfigurationReplica::applyConfirmed(
    LogOffset offset, WallTime appendedAt, const PlanConfirmation& confirmed)
{
    if (confirmed.base != this->versionInForce) {
        this->rememberVoid(confirmed.plan);
        return resultOf(ApplyResult::Kind::VoidPlan, confirmed.plan,
            "made on version " + std::to_string(confirmed.base.raw()) + ", but the version in force was "
                + std::to_string(this->versionInForce.raw()));
    }
    ConfigVersion version { offset.raw() + 1 };
    this->advanceTo(version, withChanges(this->inForce, confirmed.changes, appendedAt));
    HistoryEntry entry;
    entry.version = version;
    entry.base = confirmed.base;
    entry.plan = confirmed.plan;
    entry.operatorName = confirmed.operatorName;
    entry.summary = confirmed.summary;
    entry.confirmedAt = appendedAt;
    this->planHistory.push_back(std::move(entry));
    if (this->planHistory.size() > MaxHistoryEntries)
        this->planHistory.erase(this->planHistory.begin());
    return resultOf(ApplyResult::Kind::Applied, confirmed.plan, {});
}

ApplyResult ConfigurationReplica::applySnapshot(const Snapshot& snapshot)
{
    if (!this->isGapped) {
        checkInvariant(snapshot.version <= this->versionInForce, Invariant::SameVersionSameConfiguration,
            "a snapshot is newer than the records before it");
        this->checkSameContent(snapshot);
        this->rememberSnapshot(snapshot);
        return resultOf(ApplyResult::Kind::Ignored, {}, "snapshot contains nothing new");
    }
    if (!this->closeGap(snapshot))
        return resultOf(ApplyResult::Kind::Ignored, {}, "snapshot does not cover the gap");
    this->rememberSnapshot(snapshot);
    return resultOf(ApplyResult::Kind::Applied, {}, "snapshot closed the gap");
}

std::variant<bool, ConfigError> ConfigurationReplica::onPeerSnapshot(const ConfigurationSnapshot& message)
{
    auto decoded = decodeRecord(message.snapshot);
    if (auto* error = std::get_if<ConfigError>(&decoded))
        return std::move(*error);
    const auto* snapshot = std::get_if<Snapshot>(&std::get<ConfigurationRecord>(decoded));
    if (snapshot == nullptr)
        return ConfigError { ConfigErrorKind::Malformed, "the peer's message is not a snapshot" };
    ConfigVersion before = this->versionInForce;
    this->applyPeerSnapshot(*snapshot);
    return this->versionInForce > before;
}

void ConfigurationReplica::applyPeerSnapshot(const Snapshot& snapshot)
{
    if (snapshot.version < this->versionInForce)
        return;
    this->knowsVersion = true;
    if (this->isGapped && this->closeGap(snapshot))
        return;
    this->adopt(snapshot);
    // While there is a gap, the records read so far may contain later plans, which stay buffered until a
    // snapshot closes the gap.
    if (!this->isGapped)
        this->next = std::max(this->next, snapshot.through);
}

bool ConfigurationReplica::closeGap(const Snapshot& snapshot)
{
    if (snapshot.through < this->gapEnd || snapshot.version < this->versionInForce)
        return false;
    this->adopt(snapshot);
    this->isGapped = false;
    this->knowsVersion = true;
    std::deque<BufferedRecord> buffered = std::exchange(this->bufferedRecords, {});
    for (const BufferedRecord& record : buffered) {
        if (record.offset >= snapshot.through)
            this->applyConfirmed(record.offset, record.appendedAt, record.confirmed);
    }
    this->next = std::max(this->next, snapshot.through);
    return true;
}

void ConfigurationReplica::adopt(const Snapshot& snapshot)
{
    this->checkSameContent(snapshot);
    if (snapshot.version <= this->versionInForce)
        return;
    this->advanceTo(snapshot.version, snapshot.configuration);
    this->planHistory = snapshot.history;
}

void ConfigurationReplica::checkSameContent(const Snapshot& snapshot) const
{
    if (snapshot.version != this->versionInForce)
        return;
    checkInvariant(digestOf(snapshot.configuration) == this->digestInForce,
        Invariant::SameVersionSameConfiguration,
        "different configurations at version " + std::to_string(snapshot.version.raw()));
}

void ConfigurationReplica::advanceTo(ConfigVersion version, SiteConfiguration configuration)
{
    checkInvariant(version > this->versionInForce, Invariant::ConfigurationNeverReverts,
        "from version " + std::to_string(this->versionInForce.raw()) + " to "
            + std::to_string(version.raw()));
    this->versionInForce = version;
    this->inForce = std::move(configuration);
    this->digestInForce = digestOf(this->inForce);
}

void ConfigurationReplica::rememberVoid(const PlanId& plan)
{
    this->voidPlans.push_back(plan);
    if (this->voidPlans.size() > MaxVoidPlans)
        this->voidPlans.pop_front();
}

void ConfigurationReplica::rememberTime(const LogRecord& record)
{
    if (!this->firstReadAt)
        this->firstReadAt = record.appendedAt;
    this->recentTimes.push_back({ record.offset, record.appendedAt });
    if (this->recentTimes.size() > MaxRecentTimes)
        this->recentTimes.pop_front();
}

void ConfigurationReplica::rememberSnapshot(const Snapshot& snapshot)
{
    // A snapshot is usable while the log retains the records from its `through` on, so the append time of
    // the first of them counts, not that of the snapshot.
    for (const RecordTime& each : this->recentTimes) {
        if (each.offset < snapshot.through)
            continue;
        bool isKnownFromStart = each.offset == snapshot.through;
        if (isKnownFromStart)
            this->snapshotCoversFrom = std::max(this->snapshotCoversFrom.value_or(each.at), each.at);
        return;
    }
}

const HistoryEntry* ConfigurationReplica::historyOf(const PlanId& plan) const
{
    for (const HistoryEntry& entry : this->planHistory) {
        if (entry.plan == plan)
            return &entry;
    }
    return nullptr;
}

PlanStatus ConfigurationReplica::planStatus(const PlanId& plan) const
{
    const HistoryEntry* entry = this->historyOf(plan);
    if (entry != nullptr)
        return entry->version == this->versionInForce ? PlanStatus::InForce : PlanStatus::Superseded;
    bool isVoid = std::find(this->voidPlans.begin(), this->voidPlans.end(), plan) != this->voidPlans.end();
    return isVoid ? PlanStatus::Void : PlanStatus::Unseen;
}

std::optional<WallTime> ConfigurationReplica::lastChangeAt() const
{
    if (this->planHistory.empty())
        return std::nullopt;
    return this->planHistory.back().confirmedAt;
}

Snapshot ConfigurationReplica::snapshot() const
{
    Snapshot snapshot;
    snapshot.version = this->versionInForce;
    snapshot.through = this->isGapped ? LogOffset { this->versionInForce.raw() } : this->next;
    snapshot.configuration = this->inForce;
    snapshot.history = this->planHistory;
    return snapshot;
}

ConfigurationSnapshot ConfigurationReplica::peerSnapshot() const
{
    ConfigurationSnapshot message;
    message.version = this->versionInForce;
    message.snapshot = encodeRecord(this->snapshot());
    return message;
}

} // namespace peridotgrade
