// Connects the log's claims stream with the shards.
#include "claims_feed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    const std::string Stream = "claims";
    constexpr std::chrono::milliseconds AppendTimeout { 2000 };

    AppendResult resultOf(const std::variant<LogOffset, LogError>& result)
    {
        const auto* error = std::get_if<LogError>(&result);
        if (error == nullptr)
            return AppendResult::Appended;
        return error->kind == LogErrorKind::Refused ? AppendResult::Refused : AppendResult::Unknown;
    }

} // namespace

ClaimsFeed::ClaimsFeed(asio::any_io_executor strand, EntryContext& context, std::uint64_t seed)
    : strand(std::move(strand))
    , context(context)
    , client(this->strand, context.settings.node.platform)
    , tail(this->strand, context.settings.node.platform, Stream, LogOffset {}, seed, *this)
{
}

void ClaimsFeed::start() { this->tail.start(); }

void ClaimsFeed::stop() { this->tail.stop(); }

void ClaimsFeed::append(std::size_t shard, AppendClaims claims)
{
    auto work = [this, shard, claims = std::move(claims)]() mutable {
        return this->appendOnce(shard, std::move(claims));
    };
    asio::co_spawn(this->strand, std::move(work), asio::detached);
}

asio::awaitable<void> ClaimsFeed::appendOnce(std::size_t shard, AppendClaims claims)
{
    std::string stream = Stream;
    auto result = co_await this->client.append(std::move(stream), std::move(claims.records), AppendTimeout);
    this->context.shards[shard]->onAppendResult(claims.append, resultOf(result));
}

void ClaimsFeed::onLogRecords(std::vector<LogRecord> records)
{
    for (auto& shard : this->context.shards)
        shard->onClaimRecords(records);
}

void ClaimsFeed::onLogCaughtUp(LogOffset, LogOffset next, TimePoint readBegan)
{
    for (auto& shard : this->context.shards)
        shard->onClaimsCaughtUp(next, readBegan);
}

void ClaimsFeed::onLogGap(LogOffset oldest)
{
    this->context.logger.write(LogLevel::Info, "claims_gap", { { "oldest", std::to_string(oldest.raw()) } });
    for (auto& shard : this->context.shards)
        shard->onClaimsGap(oldest);
}

void ClaimsFeed::onLogAvailability(bool isAvailable)
{
    this->context.logger.write(
        isAvailable ? LogLevel::Info : LogLevel::Warn, isAvailable ? "log_available" : "log_unavailable");
    TimelineEvent event;
    event.kind = isAvailable ? EventKind::LogAvailable : EventKind::LogUnavailable;
    this->context.timeline.record(std::move(event));
    for (auto& shard : this->context.shards)
        shard->setLogAvailable(isAvailable);
}

} // namespace peridotgrade
