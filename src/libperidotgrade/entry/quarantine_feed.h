// Spreads quarantined requests among shards and entries.
#pragma once

#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/services/log_client.h"
#include "peridotgrade/services/log_tail.h"

#include <boost/asio/steady_timer.hpp>

#include <set>

namespace peridotgrade {

/// Follows the stream `quarantine`, appends to it, and in a log outage spreads the news through the agents
/// until the append succeeds. Runs on one strand.
class QuarantineFeed final : public LogTailListener {
public:
    QuarantineFeed(boost::asio::any_io_executor strand, EntryContext& context, std::uint64_t seed);

    void start();
    void stop();
    /// Thread safe.
    void publish(Fingerprint fingerprint);
    /// Heard from an agent or a peer. Thread safe.
    void onReported(std::vector<Fingerprint> fingerprints);

    void onLogRecords(std::vector<LogRecord> records) override;
    void onLogCaughtUp(LogOffset, LogOffset, TimePoint) override { }
    void onLogGap(LogOffset) override { }
    void onLogAvailability(bool) override { }

private:
    boost::asio::awaitable<void> appendPending();
    void notifyShards(const std::vector<Fingerprint>& fingerprints, bool notifiesAgents);

    const boost::asio::any_io_executor strand;
    EntryContext& context;
    LogClient client;
    LogTail tail;
    boost::asio::steady_timer retryTimer;
    /// Not yet known to be in the log.
    std::set<Fingerprint> pending;
    /// Invariant: at most one append is under way.
    bool isAppending = false;
    bool isStopped = false;
};

} // namespace peridotgrade
