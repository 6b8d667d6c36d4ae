// Appending to the quarantine stream, and notification of shards and agents.
#include "quarantine_feed.h"

#include "peridotgrade/core/quarantine/quarantine_record.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {
    const std::string Stream = "quarantine";
    constexpr std::chrono::milliseconds AppendTimeout { 2000 };
    constexpr std::chrono::milliseconds RetryDelay { 1000 };
} // namespace

QuarantineFeed::QuarantineFeed(asio::any_io_executor strand, EntryContext& context, std::uint64_t seed)
    : strand(std::move(strand))
    , context(context)
    , client(this->strand, context.settings.node.platform)
    , tail(this->strand, context.settings.node.platform, Stream, LogOffset {}, seed, *this)
    , retryTimer(this->strand)
{
}

void QuarantineFeed::start() { this->tail.start(); }

void QuarantineFeed::stop()
{
    this->isStopped = true;
    this->retryTimer.cancel();
    this->tail.stop();
}

void QuarantineFeed::publish(Fingerprint fingerprint)
{
    asio::post(this->strand, [this, fingerprint] {
        this->context.logger.write(
            LogLevel::Warn, "request_quarantined", { { "fingerprint", std::to_string(fingerprint.raw()) } });
        this->notifyShards({ fingerprint }, false);
        this->pending.insert(fingerprint);
        if (!std::exchange(this->isAppending, true))
            asio::co_spawn(
                this->strand, [this] { return this->appendPending(); }, asio::detached);
    });
}

void QuarantineFeed::onReported(std::vector<Fingerprint> fingerprints)
{
    asio::post(
        this->strand, [this, reported = std::move(fingerprints)] { this->notifyShards(reported, false); });
}

asio::awaitable<void> QuarantineFeed::appendPending()
{
    while (!this->pending.empty() && !this->isStopped) {
        QuarantineRecord record;
        record.entry = EntryId { this->context.settings.node.name };
        record.quarantined.assign(this->pending.begin(), this->pending.end());
        std::vector<std::string> records { encodeQuarantineRecord(record) };
        std::string stream = Stream;
        auto result = co_await this->client.append(std::move(stream), std::move(records), AppendTimeout);
        if (std::holds_alternative<LogOffset>(result)) {
            for (Fingerprint fingerprint : record.quarantined)
                this->pending.erase(fingerprint);
            continue;
        }
        // The append may be retried after a lost acknowledgement, since a repeated record has no effect.
        this->notifyShards(record.quarantined, true);
        boost::system::error_code ignored;
        this->retryTimer.expires_after(RetryDelay);
        co_await this->retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->isAppending = false;
}

void QuarantineFeed::notifyShards(const std::vector<Fingerprint>& fingerprints, bool notifiesAgents)
{
    for (auto& shard : this->context.shards)
        shard->quarantine(fingerprints, notifiesAgents);
}

void QuarantineFeed::onLogRecords(std::vector<LogRecord> records)
{
    for (const LogRecord& record : records) {
        auto decoded = decodeQuarantineRecord(record.data);
        if (auto* known = std::get_if<QuarantineRecord>(&decoded))
            this->notifyShards(known->quarantined, false);
    }
}

} // namespace peridotgrade
