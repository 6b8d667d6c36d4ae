// Follows the claims stream and appends to it, for all shards.
#pragma once

#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/services/log_client.h"
#include "peridotgrade/services/log_tail.h"

namespace peridotgrade {

/// Passes each record to all shards. Runs on one strand.
class ClaimsFeed final : public LogTailListener {
public:
    ClaimsFeed(boost::asio::any_io_executor strand, EntryContext& context, std::uint64_t seed);

    void start();
    void stop();
    /// Appends without retry and passes the result to the shard. Thread safe.
    void append(std::size_t shard, AppendClaims claims);

    void onLogRecords(std::vector<LogRecord> records) override;
    void onLogCaughtUp(LogOffset oldest, LogOffset next, TimePoint readBegan) override;
    void onLogGap(LogOffset oldest) override;
    void onLogAvailability(bool isAvailable) override;

private:
    boost::asio::awaitable<void> appendOnce(std::size_t shard, AppendClaims claims);

    const boost::asio::any_io_executor strand;
    EntryContext& context;
    LogClient client;
    LogTail tail;
};

} // namespace peridotgrade
