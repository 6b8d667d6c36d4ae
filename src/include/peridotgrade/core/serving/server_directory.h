// The backend servers that may get requests, built from the platform's server list.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_record.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

/// One record of the list with its position. A record without a value is a tombstone: the server was removed
/// from the list.
struct ListedServer {
    ServerId id;
    /// Invariant: increases with every record of the list.
    LogOffset offset;
    std::optional<ServerRecord> record;
};

/// One change of the directory, for logs and for the owner of the connections.
struct DirectoryChange {
    enum class Kind : std::uint8_t { Appeared, Changed, Draining, Gone, KeptInOutage };
    Kind kind = Kind::Changed;
    ServerId id;
    ServiceId service;
};

/// `appeared`, `changed`, `draining`, `gone` or `kept_in_outage`.
std::string_view nameOf(DirectoryChange::Kind kind);

/// Applies the records of the platform's list to the set of servers that may get new requests. Duplicate,
/// late and reordered records change nothing: a later position wins, and within one incarnation of a server a
/// later report. Servers whose records expired during a store outage stay usable until `OutageGrace` after
/// the store is back; from then on the list is authoritative again. Not thread safe.
class ServerDirectory {
public:
    /// Live servers are listed again about 2 s after the store is back.
    static constexpr std::chrono::milliseconds OutageGrace { 2200 };

    /// Records of servers that have ended disappear from an older copy within this time: they expire after
    /// three missed reports.
    static constexpr std::chrono::milliseconds OldCopyTime { 6000 };

    /// Applies records in order of their position.
    std::vector<DirectoryChange> apply(const std::vector<ListedServer>& records, TimePoint now);
    /// Applies a full listing that was read up to `end`; servers missing from it are removed. A listing that
    /// is older than what is known is ignored.
    std::vector<DirectoryChange> replace(
        const std::vector<ListedServer>& records, LogOffset end, TimePoint now);
    /// The store has stopped answering, or is back.
    void noteStoreLost(TimePoint now);
    void noteStoreBack(TimePoint now);
    /// The server itself has said that it leaves. Like a report of the list that it drains, this holds for
    /// the rest of its incarnation.
    std::vector<DirectoryChange> noteLeaving(const ServerId& id, WallTime startedAt);
    /// The store has come back from an older copy: positions start anew, and the next listing may lack
    /// servers and show ones that have left. The former are kept as in an outage, the latter stay away until
    /// they report again.
    void startEra(TimePoint now);
    /// Removes servers that were kept during an outage and are still missing.
    std::vector<DirectoryChange> expire(TimePoint now);

    /// Servers of a service that may get new requests, in order of their id.
    std::vector<const ServerRecord*> usable(const ServiceId& service) const;
    /// Every known server, draining ones included.
    std::vector<const ServerRecord*> all() const;
    /// The record if the server may get new requests; null otherwise.
    const ServerRecord* find(const ServerId& id) const;

private:
    struct Entry {
        ServerRecord record;
        /// The server has said, or the list has shown, that it leaves. Invariant: never reverts in an
        /// incarnation.
        bool isLeaving = false;
        /// Set while the list lacks the server although it may be alive.
        std::optional<TimePoint> removeAt;

        bool isUsable() const { return !this->isLeaving && !this->record.isDraining; }
    };
    /// Newest report of a server that was removed.
    struct LastReport {
        WallTime startedAt {};
        std::uint64_t sequence = 0;
    };
    /// Removed servers that are remembered.
    static constexpr std::size_t MaxRemoved = 4096;

    void applyOne(const ListedServer& listed, TimePoint now, std::vector<DirectoryChange>& changes);
    void remove(const ServerId& id, TimePoint now, std::vector<DirectoryChange>& changes);
    void rememberRemoved(const ServerRecord& record);
    bool isOlderThanRemoval(const ServerRecord& record) const;
    bool isOutageRecent(TimePoint now) const;

    std::map<ServerId, Entry> entries;
    /// Position of the last record of each server, tombstones included.
    std::map<ServerId, LogOffset> lastOffsets;
    /// Last reports of removed servers; a copy of the list may show them again.
    std::map<ServerId, LastReport> removed;
    /// Until then, records may be from before the removal of their server.
    TimePoint oldCopyUntil {};
    LogOffset knownEnd;
    bool isStoreLost = false;
    std::optional<TimePoint> storeBackAt;
};

} // namespace peridotgrade
