// Calls after the end of answers, shared by the answers that end together.
#include "peridotgrade/gateway/server_liveness.h"

#include "peridotgrade/core/base/name_table.h"
#include "peridotgrade/net/sleep.h"
#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr auto Names = std::to_array<std::string_view>({ "alive", "ended", "closing", "unknown" });

    // A process that ends closes all its connections within a few milliseconds.
    constexpr std::chrono::milliseconds SettleTime { 20 };
    constexpr std::chrono::milliseconds LookInterval { 25 };
    // The kept connection counts as closed together with an answer if it was found closed so shortly before
    // it.
    constexpr std::chrono::milliseconds CloseWindow { 2 * LookInterval };
    constexpr std::chrono::milliseconds ReopenInterval { 250 };
    constexpr std::chrono::milliseconds RetryInterval { 50 };
    // A server that does not answer has not ended if the kept connection is open so long after the answer.
    // The end of a connection may be delayed by the loss of a packet.
    constexpr std::chrono::milliseconds OpenTime { 500 };

    /// At least a millisecond.
    Duration timeUntil(TimePoint deadline)
    {
        return std::max<Duration>(deadline - TimerDriver::now(), std::chrono::milliseconds { 1 });
    }

} // namespace

std::string_view nameOf(Liveness liveness) { return nameAt(Names, liveness); }

struct ServerLiveness::Round {
    /// When the first of its answers ended.
    TimePoint endedAt;
    TimePoint deadline;
    Liveness liveness = Liveness::Unknown;
    bool isDone = false;
    /// Cancelled when the round is done; each expires at the deadline of its answer.
    std::vector<std::shared_ptr<asio::steady_timer>> waiting;

    TimePoint due() const { return this->endedAt + SettleTime; }
    /// Time enough is left for the server to close the connections that it closes beside that of the answer.
    bool takes(TimePoint now) const { return now + SettleTime / 2 <= this->due(); }
};

ServerLiveness::ServerLiveness(asio::any_io_executor executor, std::shared_ptr<ServerClient> client,
    std::string healthPath, ClosedUntil closedUntil)
    : executor(std::move(executor))
    , client(std::move(client))
    , healthPath(std::move(healthPath))
    , closedUntil(std::move(closedUntil))
{
}

void ServerLiveness::start()
{
    asio::co_spawn(this->executor, keepConnection(this->weak_from_this()), asio::detached);
}

asio::awaitable<void> ServerLiveness::keepConnection(std::weak_ptr<ServerLiveness> watched)
{
    auto executor = co_await asio::this_coro::executor;
    while (auto self = watched.lock()) {
        self->lookAtConnection();
        if (!self->connection && TimerDriver::now() >= self->nextOpenAt)
            co_await self->openConnection();
        self.reset();
        co_await sleepFor(executor, LookInterval);
    }
}

asio::awaitable<void> ServerLiveness::openConnection()
{
    this->nextOpenAt = TimerDriver::now() + ReopenInterval;
    auto opened = co_await this->client->openStatusConnection(this->healthPath, ReopenInterval);
    if (auto* open = std::get_if<std::shared_ptr<StatusConnection>>(&opened)) {
        this->connection = std::move(*open);
        this->openedAt = TimerDriver::now();
    }
}

void ServerLiveness::lookAtConnection()
{
    if (!this->connection || this->connection->state() == ConnectionState::Open)
        return;
    if (this->connection->state() == ConnectionState::PeerClosed)
        this->closedAt = TimerDriver::now();
    this->connection.reset();
}

bool ServerLiveness::hasClosedSince(const Round& round)
{
    this->lookAtConnection();
    return this->closedAt && *this->closedAt >= round.endedAt - CloseWindow;
}

bool ServerLiveness::isWatched(const Round& round) const
{
    return this->connection && this->openedAt <= round.endedAt;
}

asio::awaitable<LivenessCheck> ServerLiveness::check(Duration timeout)
{
    auto self = this->shared_from_this();
    TimePoint now = TimerDriver::now();
    auto round = this->latest;
    bool isShared = round && round->takes(now);
    if (!isShared) {
        round = std::make_shared<Round>();
        round->endedAt = now;
        this->latest = round;
    }
    LivenessCheck result;
    result.isShared = isShared;
    result.wasWatched = this->isWatched(*round);
    round->deadline = std::max(round->deadline, now + timeout);
    auto timer = std::make_shared<asio::steady_timer>(this->executor, timeout);
    round->waiting.push_back(timer);
    if (!isShared)
        asio::co_spawn(this->executor, runRound(self, round), asio::detached);
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    result.liveness = round->isDone ? round->liveness : Liveness::Unknown;
    co_return result;
}

asio::awaitable<void> ServerLiveness::runRound(
    std::shared_ptr<ServerLiveness> self, std::shared_ptr<Round> round)
{
    co_await sleepFor(self->executor, round->due() - TimerDriver::now());
    round->liveness = co_await self->ask(*round);
    round->isDone = true;
    for (const auto& timer : round->waiting)
        timer->cancel();
}

asio::awaitable<Liveness> ServerLiveness::ask(const Round& round)
{
    bool isProxied = false;
    while (TimerDriver::now() < round.deadline) {
        if (this->hasClosedSince(round))
            co_return Liveness::Closing;
        bool isWatched = this->isWatched(round) && !isProxied;
        TimePoint until = isWatched ? std::min(round.deadline, round.endedAt + OpenTime) : round.deadline;
        if (isWatched && TimerDriver::now() >= until)
            co_return Liveness::Alive;
        if (this->closedUntil()) {
            co_await sleepFor(this->executor, RetryInterval);
            continue;
        }
        auto opened = co_await this->client->openStatusConnection(this->healthPath, timeUntil(until));
        auto* error = std::get_if<NetError>(&opened);
        if (error != nullptr && error->kind == NetErrorKind::ConnectRefused)
            co_return Liveness::Ended;
        if (error == nullptr) {
            auto used = std::get<std::shared_ptr<StatusConnection>>(std::move(opened));
            StatusCallResult result = co_await used->call(timeUntil(until));
            if (result == StatusCallResult::Answered)
                co_return this->hasClosedSince(round) ? Liveness::Closing : Liveness::Alive;
            if (result == StatusCallResult::Replaced)
                co_return Liveness::Ended;
            isProxied = isProxied || result == StatusCallResult::Unidentified;
        }
        co_await sleepFor(this->executor, std::min<Duration>(RetryInterval, timeUntil(until)));
    }
    co_return Liveness::Unknown;
}

} // namespace peridotgrade
