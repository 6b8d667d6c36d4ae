// Follows one topic of the platform's store.
#pragma once

#include "peridotgrade/gateway/gateway_state.h"
#include "platform/store_client.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace peridotgrade {

/// How a topic is followed.
struct WatchedTopic {
    std::string name;
    /// How long a read waits for records (long poll); with zero, reads are sent at `interval` instead.
    std::chrono::milliseconds wait { 0 };
    /// Pause between reads that do not wait.
    std::chrono::milliseconds interval { 0 };
    /// How long a read waits instead while no call to the store fails; zero for no longer.
    std::chrono::milliseconds calmWait { 0 };
    /// Pause after records, for each entry of the group: each record ends the waiting reads of all entries,
    /// so what many publish one after the other is read together.
    std::chrono::milliseconds pausePerEntry { 0 };
    /// What a listing lacks means nothing, so that the records of a long one are handed on in parts, between
    /// which the event loop serves others. Those whose keys agree up to the first slash stay together. A
    /// listing that fails is continued where it failed.
    bool isReadInParts = false;
};

/// Lists a keyed topic, then reads the records after the listing, with a deadline on every call. After every
/// failure it lists again, since the listing shows what was missed, and so it does when the store has come
/// back from an older copy, since offsets start anew there. Notifies its owner of records, and when
/// the store is lost and back.
class StoreWatch {
public:
    /// Records that are handed on at once if the topic is read in parts.
    static constexpr std::size_t PartSize = 500;
    /// A listing with more records is logged.
    static constexpr std::size_t LongListing = 20'000;

    struct Callbacks {
        /// Not called if the topic is read in parts.
        std::function<void(const StoreListing&)> onListing;
        std::function<void(const std::vector<StoreRecord>&)> onRecords;
        std::function<void()> onLost;
        std::function<void()> onBack;
        /// The store has come back from an older copy; a listing of that copy follows.
        std::function<void()> onNewEra;
        /// The topic is up to date as of `asked`, a time of the clock that advances in a suspension.
        std::function<void(TimePoint asked)> onRead;
    };

    StoreWatch(GatewayState& state, StoreClient& store, WatchedTopic topic, Callbacks callbacks);
    /// Runs until the process ends.
    boost::asio::awaitable<void> run();
    /// The topic is listed anew after the read in progress.
    void listAgain() { this->isListingWanted = true; }
    /// Up to where the topic has been read; nothing while the store cannot be read.
    std::optional<LogOffset> position() const { return this->next; }
    /// When the answer before the present one arrived that showed the topic as up to date: what the present
    /// one brings was appended later. Nothing if there was none.
    std::optional<TimePoint> currentBefore() const { return this->previousCurrentAt; }

private:
    /// A listing in progress.
    struct PartialListing {
        /// When the first page was asked for, on the clock that advances in a suspension.
        TimePoint asked;
        TimePoint began;
        LogOffset end;
        std::uint64_t era = 0;
        /// The next page follows this key.
        std::string after;
        /// Records that may belong to the first ones of the next page.
        std::vector<StoreRecord> carried;
        std::size_t records = 0;
    };

    boost::asio::awaitable<bool> relist();
    boost::asio::awaitable<bool> relistInParts();
    boost::asio::awaitable<void> takePage(StoreListingPage& page, TimePoint asked, TimePoint began);
    boost::asio::awaitable<void> handOn(std::vector<StoreRecord> records);
    void handOnPart(const std::vector<StoreRecord>& records);
    void logLongListing(std::size_t records, TimePoint began);
    boost::asio::awaitable<bool> readNext();
    std::chrono::milliseconds readWait() const;
    /// Pause before the next read, after one that succeeded.
    std::chrono::milliseconds pause() const;
    void noteFailure(const StoreError& error, TimePoint began);
    void noteSuccess();
    void noteCurrent(TimePoint asked);

    GatewayState& state;
    StoreClient& store;
    WatchedTopic topic;
    Callbacks callbacks;
    void enterEra(std::uint64_t newEra);

    std::optional<LogOffset> next;
    std::optional<PartialListing> listing;
    bool isListingWanted = false;
    /// Era of `next`; nothing before the first answer.
    std::optional<std::uint64_t> era;
    /// The last read brought records.
    bool hasReadRecords = false;
    /// More records follow those of the last read.
    bool isBehind = false;
    std::uint32_t consecutiveFailures = 0;
    /// When answers arrived that showed the topic as up to date: the last one, and the one before.
    std::optional<TimePoint> currentAt;
    std::optional<TimePoint> previousCurrentAt;
};

} // namespace peridotgrade
