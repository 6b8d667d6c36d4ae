// Distributes quarantined fingerprints to shards and entries.
#pragma once

#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/services/log_client.h"
#include "peridotgrade/services/log_tail.h"

#include <boost/asio/steady_timer.hpp>

#include <set>

namespace peridotgrade {

/// Follows the stream `quarantine` and appends to it. During a log outage it distributes fingerprints through
/// the agents until the append succeeds. Runs on one strand.
class QuarantineFeed final : public LogTailListener {
public:
    QuarantineFeed(boost::asio::any_io_executor strand, EntryContext& context, std::uint64_t seed);

    void start();
    void stop();
    /// Thread safe.
    void publish(Fingerprint fingerprint);
    /// Takes fingerprints that an agent or a peer reported. Thread safe.
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
    /// Fingerprints whose append has not been acknowledged.
    std::set<Fingerprint> pending;
    /// Invariant: at most one append is in progress.
    bool isAppending = false;
    bool isStopped = false;
};

} // namespace peridotgrade
