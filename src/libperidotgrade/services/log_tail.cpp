// The log tail's long polls, retries and handling of gaps.
#include "peridotgrade/services/log_tail.h"

#include "peridotgrade/core/base/backoff.h"
#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr std::uint32_t MaxRecordsPerRead = 1'000;
    constexpr std::chrono::milliseconds LongPollWait { 2'000 };
    constexpr std::chrono::milliseconds FirstRetryDelay { 100 };
    constexpr std::chrono::milliseconds MaxRetryDelay { 2'000 };

} // namespace

class LogTail::Impl : public std::enable_shared_from_this<LogTail::Impl> {
public:
    Impl(asio::any_io_executor executor, Endpoint platform, std::string stream, LogOffset from,
        std::uint64_t seed, LogTailListener& listener)
        : executor(executor)
        , client(executor, std::move(platform))
        , stream(std::move(stream))
        , from(from)
        , random(seed)
        , backoff(FirstRetryDelay, MaxRetryDelay)
        , retryTimer(executor)
        , listener(&listener)
    {
    }

    asio::awaitable<void> run()
    {
        auto self = this->shared_from_this();
        std::chrono::milliseconds wait { 0 };
        while (this->listener != nullptr) {
            TimePoint readBegan = TimerDriver::now();
            auto result = co_await this->client.read(this->stream, this->from, MaxRecordsPerRead, wait);
            if (this->listener == nullptr)
                co_return;
            if (auto* page = std::get_if<LogPage>(&result)) {
                this->handlePage(std::move(*page), readBegan);
                wait = LongPollWait;
                continue;
            }
            const LogError& error = std::get<LogError>(result);
            if (error.kind == LogErrorKind::Gone && error.oldest > this->from) {
                this->handleGap(error.oldest);
                wait = std::chrono::milliseconds { 0 };
                continue;
            }
            this->reportAvailability(false);
            co_await this->waitForRetry();
        }
    }

    void stop()
    {
        this->listener = nullptr;
        this->retryTimer.cancel();
    }

    const asio::any_io_executor executor;
    LogClient client;
    const std::string stream;
    /// Offset of the next record to deliver. Invariant: never decreases.
    LogOffset from;

private:
    void handlePage(LogPage page, TimePoint readBegan)
    {
        this->backoff.reset();
        this->reportAvailability(true);
        std::vector<LogRecord> newRecords;
        for (LogRecord& record : page.records) {
            // `skipTo` may have advanced `from` while the read was in progress.
            if (record.offset < this->from)
                continue;
            this->from = LogOffset { record.offset.raw() + 1 };
            newRecords.push_back(std::move(record));
        }
        if (!newRecords.empty() && this->listener != nullptr)
            this->listener->onLogRecords(std::move(newRecords));
        bool isCaughtUp = this->from >= page.next;
        if (isCaughtUp && this->listener != nullptr)
            this->listener->onLogCaughtUp(page.oldest, page.next, readBegan);
    }

    void handleGap(LogOffset oldest)
    {
        this->from = oldest;
        this->reportAvailability(true);
        if (this->listener != nullptr)
            this->listener->onLogGap(oldest);
    }

    void reportAvailability(bool isAvailable)
    {
        if (this->lastAvailability == isAvailable || this->listener == nullptr)
            return;
        this->lastAvailability = isAvailable;
        this->listener->onLogAvailability(isAvailable);
    }

    asio::awaitable<void> waitForRetry()
    {
        if (this->listener == nullptr)
            co_return;
        this->retryTimer.expires_after(
            std::chrono::duration_cast<asio::steady_timer::duration>(this->backoff.next(this->random)));
        boost::system::error_code ignored;
        co_await this->retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    RandomSource random;
    Backoff backoff;
    asio::steady_timer retryTimer;
    /// Invariant: null once stopped.
    LogTailListener* listener;
    std::optional<bool> lastAvailability;
};

LogTail::LogTail(asio::any_io_executor executor, Endpoint platform, std::string stream, LogOffset from,
    std::uint64_t seed, LogTailListener& listener)
    : impl(std::make_shared<Impl>(
        std::move(executor), std::move(platform), std::move(stream), from, seed, listener))
{
}

LogTail::~LogTail() { this->stop(); }

void LogTail::start()
{
    auto self = this->impl;
    asio::co_spawn(
        self->executor, [self] { return self->run(); }, asio::detached);
}

void LogTail::stop() { this->impl->stop(); }

void LogTail::skipTo(LogOffset from)
{
    if (from > this->impl->from)
        this->impl->from = from;
}

} // namespace peridotgrade
