// Ordering, outage and expiry rules of the server directory.
#include "peridotgrade/core/serving/server_directory.h"

#include "peridotgrade/core/base/name_table.h"

#include <algorithm>
#include <array>
#include <set>

namespace peridotgrade {

std::string_view nameOf(ServerRole role)
{
    constexpr std::array<std::string_view, 3> Names { "none", "prefill", "decode" };
    return nameAt(Names, role);
}

std::string_view nameOf(DirectoryChange::Kind kind)
{
    constexpr std::array<std::string_view, 5> Names { "appeared", "changed", "draining", "gone",
        "kept_in_outage" };
    return nameAt(Names, kind);
}

namespace {

    /// Returns true if `next` is at least as new as `current`, a record of the same server.
    bool isAtLeastAsNew(const ServerRecord& next, const ServerRecord& current)
    {
        if (next.startedAt != current.startedAt)
            return next.startedAt > current.startedAt;
        return next.sequence >= current.sequence;
    }

    bool isSameForRouting(const ServerRecord& one, const ServerRecord& other)
    {
        return one.service == other.service && one.address == other.address && one.role == other.role
            && one.softwareVersion == other.softwareVersion && one.isDraining == other.isDraining
            && one.startedAt == other.startedAt;
    }

} // namespace

std::vector<DirectoryChange> ServerDirectory::apply(const std::vector<ListedServer>& records, TimePoint now)
{
    std::vector<DirectoryChange> changes;
    for (const ListedServer& listed : records)
        this->applyOne(listed, now, changes);
    return changes;
}

std::vector<DirectoryChange> ServerDirectory::replace(
    const std::vector<ListedServer>& records, LogOffset end, TimePoint now)
{
    if (end < this->knownEnd)
        return {};
    this->knownEnd = end;
    std::vector<DirectoryChange> changes = this->apply(records, now);
    std::set<ServerId> listed;
    for (const ListedServer& each : records)
        listed.insert(each.id);
    std::vector<ServerId> missing;
    for (const auto& [id, entry] : this->entries) {
        if (!listed.contains(id) && !entry.removeAt)
            missing.push_back(id);
    }
    for (const ServerId& id : missing)
        this->remove(id, now, changes);
    return changes;
}

void ServerDirectory::applyOne(
    const ListedServer& listed, TimePoint now, std::vector<DirectoryChange>& changes)
{
    auto [last, isNew] = this->lastOffsets.try_emplace(listed.id, listed.offset);
    if (!isNew && listed.offset < last->second)
        return;
    last->second = listed.offset;
    this->knownEnd = std::max(this->knownEnd, LogOffset { listed.offset.raw() + 1 });
    if (!listed.record) {
        this->remove(listed.id, now, changes);
        return;
    }
    const ServerRecord& record = *listed.record;
    auto found = this->entries.find(listed.id);
    if (found == this->entries.end()) {
        if (now < this->oldCopyUntil && this->isOlderThanRemoval(record))
            return;
        this->removed.erase(listed.id);
        this->entries.emplace(listed.id, Entry { record, record.isDraining, std::nullopt });
        changes.push_back({ DirectoryChange::Kind::Appeared, listed.id, record.service });
        return;
    }
    Entry& entry = found->second;
    if (!isAtLeastAsNew(record, entry.record))
        return;
    entry.removeAt.reset();
    bool isSame = isSameForRouting(record, entry.record);
    bool startsDraining = record.isDraining && entry.isUsable();
    bool isSameIncarnation = record.startedAt == entry.record.startedAt;
    entry.isLeaving = record.isDraining || (isSameIncarnation && entry.isLeaving);
    entry.record = record;
    if (!isSame) {
        changes.push_back({ startsDraining ? DirectoryChange::Kind::Draining : DirectoryChange::Kind::Changed,
            listed.id, record.service });
    }
}

void ServerDirectory::remove(const ServerId& id, TimePoint now, std::vector<DirectoryChange>& changes)
{
    auto found = this->entries.find(id);
    if (found == this->entries.end())
        return;
    if (this->isOutageRecent(now) && found->second.isUsable()) {
        // Servers could not report during the outage, so an expired record says little about its server.
        found->second.removeAt = (this->isStoreLost ? now : *this->storeBackAt) + OutageGrace;
        changes.push_back({ DirectoryChange::Kind::KeptInOutage, id, found->second.record.service });
        return;
    }
    changes.push_back({ DirectoryChange::Kind::Gone, id, found->second.record.service });
    this->rememberRemoved(found->second.record);
    this->entries.erase(found);
}

bool ServerDirectory::isOlderThanRemoval(const ServerRecord& record) const
{
    auto found = this->removed.find(record.id);
    if (found == this->removed.end())
        return false;
    const LastReport& last = found->second;
    return record.startedAt < last.startedAt
        || (record.startedAt == last.startedAt && record.sequence <= last.sequence);
}

void ServerDirectory::rememberRemoved(const ServerRecord& record)
{
    if (this->removed.size() >= MaxRemoved)
        this->removed.erase(this->removed.begin());
    this->removed[record.id] = { record.startedAt, record.sequence };
}

std::vector<DirectoryChange> ServerDirectory::noteLeaving(const ServerId& id, WallTime startedAt)
{
    auto found = this->entries.find(id);
    bool isNews = found != this->entries.end() && found->second.record.startedAt == startedAt
        && found->second.isUsable();
    if (!isNews)
        return {};
    found->second.isLeaving = true;
    return { { DirectoryChange::Kind::Draining, id, found->second.record.service } };
}

void ServerDirectory::startEra(TimePoint now)
{
    this->lastOffsets.clear();
    this->knownEnd = LogOffset { 0 };
    this->oldCopyUntil = now + OldCopyTime;
    this->noteStoreLost(now);
    this->noteStoreBack(now);
}

bool ServerDirectory::isOutageRecent(TimePoint now) const
{
    return this->isStoreLost || (this->storeBackAt && now < *this->storeBackAt + OutageGrace);
}

void ServerDirectory::noteStoreLost(TimePoint) { this->isStoreLost = true; }

void ServerDirectory::noteStoreBack(TimePoint now)
{
    if (!this->isStoreLost)
        return;
    this->isStoreLost = false;
    this->storeBackAt = now;
    for (auto& [id, entry] : this->entries) {
        if (entry.removeAt)
            entry.removeAt = now + OutageGrace;
    }
}

std::vector<DirectoryChange> ServerDirectory::expire(TimePoint now)
{
    std::vector<DirectoryChange> changes;
    if (this->isStoreLost)
        return changes;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        if (!entry->second.removeAt || now < *entry->second.removeAt) {
            ++entry;
            continue;
        }
        changes.push_back({ DirectoryChange::Kind::Gone, entry->first, entry->second.record.service });
        this->rememberRemoved(entry->second.record);
        entry = this->entries.erase(entry);
    }
    return changes;
}

std::vector<const ServerRecord*> ServerDirectory::usable(const ServiceId& service) const
{
    std::vector<const ServerRecord*> result;
    for (const auto& [id, entry] : this->entries) {
        if (entry.record.service == service && entry.isUsable())
            result.push_back(&entry.record);
    }
    return result;
}

std::vector<const ServerRecord*> ServerDirectory::all() const
{
    std::vector<const ServerRecord*> result;
    for (const auto& [id, entry] : this->entries)
        result.push_back(&entry.record);
    return result;
}

const ServerRecord* ServerDirectory::find(const ServerId& id) const
{
    auto found = this->entries.find(id);
    bool isUsable = found != this->entries.end() && found->second.isUsable();
    return isUsable ? &found->second.record : nullptr;
}

} // namespace peridotgrade
