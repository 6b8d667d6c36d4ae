// Shares with the other entries at which software versions streams may have begun.
#pragma once

#include "peridotgrade/core/serving/version_history.h"
#include "peridotgrade/gateway/gateway_state.h"
#include "platform/store_client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace peridotgrade {

/// Keeps a keyed topic of the store with the software versions at which resumable streams may begin, one
/// record for each service and version. The topic is listed when an entry starts and after each listing of
/// the servers, since versions may have come and gone between that one and what was read before. A version is
/// put on record before any entry begins a stream at it (core/serving/version_history.h), and taken off a
/// while after its last server has left the list. Runs on the gateway's thread.
class VersionLog {
public:
    VersionLog(GatewayState& state, StoreClient& store);
    void start();
    /// The topic has been listed once.
    bool isStarted() const { return this->hasListed; }

private:
    using Key = std::pair<ServiceId, SoftwareVersion>;

    /// Runs until the process ends.
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> list();
    /// Puts versions on record. Returns false if the store may not have taken them.
    boost::asio::awaitable<bool> record(std::vector<Key> keys);
    /// Takes a version off the record if no entry has put one on record since the topic was listed.
    boost::asio::awaitable<void> retire(Key key);
    /// Versions that are to be put on record now.
    std::vector<Key> dueKeys() const;
    /// A version on record that has not counted for a while, if there is one.
    std::optional<Key> retirableKey();
    /// How long nothing has to be done, unless something changes.
    Duration idleTime() const;
    bool isListingDue() const { return this->listedAfter != this->serverListings; }

    GatewayState& state;
    StoreClient& store;
    /// Cancelled to resume `run`.
    boost::asio::steady_timer wakeup;
    /// As listed last, and what was appended since, with the offset of each record.
    std::map<Key, LogOffset> recorded;
    /// Of these, what the store has lost by coming back from an older copy.
    std::set<Key> lost;
    /// Since when versions on record have not counted.
    std::map<Key, TimePoint> unusedSince;
    /// End of the topic as listed last.
    LogOffset end;
    std::uint64_t era = 0;
    /// Number of listings of the servers; the one after which this topic was listed last.
    std::uint64_t serverListings = 0;
    std::optional<std::uint64_t> listedAfter;
    bool hasListed = false;
    /// Appends that have failed in a row.
    std::uint32_t failedRecords = 0;
};

} // namespace peridotgrade
