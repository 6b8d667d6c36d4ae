// Status calls while answers are received, and what they show once an answer has ended.
#include "peridotgrade/gateway/server_liveness.h"

#include "peridotgrade/core/base/name_table.h"
#include "peridotgrade/net/sleep.h"
#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr auto Names = std::to_array<std::string_view>({ "alive", "ended", "closing", "unknown" });

    constexpr std::chrono::milliseconds LookInterval { 10 };
    // Servers state their idle time-outs in whole seconds.
    constexpr std::chrono::milliseconds RenewalInterval { 500 };
    constexpr std::chrono::milliseconds ReopenInterval { 50 };
    constexpr std::chrono::seconds CallTimeout { 3 };
    // A process that is being stopped closes idle connections first and gives running answers some time.
    constexpr std::chrono::seconds ClosingTime { 2 };
    constexpr int SlownessTolerance = 2;

} // namespace

std::string_view nameOf(Liveness liveness) { return nameAt(Names, liveness); }

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
    asio::co_spawn(this->executor, keepCalling(this->weak_from_this()), asio::detached);
}

asio::awaitable<void> ServerLiveness::keepCalling(std::weak_ptr<ServerLiveness> watched)
{
    auto executor = co_await asio::this_coro::executor;
    while (auto self = watched.lock()) {
        if (self->connection && self->connection->state() != ConnectionState::Open)
            self->dropConnection(self->connection->state() == ConnectionState::PeerClosed);
        if (self->isCallDue(TimerDriver::now()))
            co_await self->callServer();
        self.reset();
        co_await sleepFor(executor, LookInterval);
    }
}

bool ServerLiveness::isCallDue(TimePoint now) const
{
    bool isWanted = std::any_of(
        this->wantedCalls.begin(), this->wantedCalls.end(), [now](TimePoint due) { return due <= now; });
    bool isDue = isWanted || now - this->lastCallAt >= RenewalInterval;
    return isDue && !this->hasEnded && (this->connection || now >= this->nextOpenAt) && !this->closedUntil();
}

asio::awaitable<void> ServerLiveness::callServer()
{
    if (!this->connection) {
        bool isOpen = co_await this->openConnection();
        if (!isOpen)
            co_return;
    }
    TimePoint sentAt = TimerDriver::now();
    this->callSentAt = sentAt;
    this->lastCallAt = sentAt;
    StatusCallResult result = co_await this->connection->call(CallTimeout);
    this->callSentAt.reset();
    if (result == StatusCallResult::Replaced)
        this->hasEnded = true;
    if (result == StatusCallResult::Answered) {
        this->answeredCallAt = sentAt;
        this->responseTime = TimerDriver::now() - sentAt;
        std::erase_if(this->wantedCalls, [sentAt](TimePoint due) { return due <= sentAt; });
    }
    this->hasConnectionAnswered = this->hasConnectionAnswered || result == StatusCallResult::Answered;
    if (!this->connection->isReusable())
        this->dropConnection(result == StatusCallResult::PeerClosed);
}

asio::awaitable<bool> ServerLiveness::openConnection()
{
    auto opened = co_await this->client->openStatusConnection(this->healthPath, CallTimeout);
    if (auto* error = std::get_if<NetError>(&opened)) {
        this->hasEnded = error->kind == NetErrorKind::ConnectRefused;
        this->nextOpenAt = TimerDriver::now() + ReopenInterval;
        co_return false;
    }
    this->connection = std::get<std::shared_ptr<StatusConnection>>(std::move(opened));
    this->hasConnectionAnswered = false;
    co_return true;
}

void ServerLiveness::dropConnection(bool isPeerClosed)
{
    // A connection that was idle before may have been closed as such.
    if (isPeerClosed && this->hasConnectionAnswered)
        this->closedAt = TimerDriver::now();
    this->connection.reset();
    this->nextOpenAt = TimerDriver::now() + ReopenInterval;
}

asio::awaitable<LivenessCheck> ServerLiveness::check(Duration settleTime, Duration timeout)
{
    auto self = this->shared_from_this();
    TimePoint endedAt = TimerDriver::now();
    TimePoint deadline = endedAt + timeout;
    TimePoint due = std::min(endedAt + settleTime, deadline);
    this->wantedCalls.push_back(due);
    LivenessCheck check;
    check.wasWatched = this->connection && this->answeredCallAt;
    auto found = this->result(endedAt, due);
    while (!found && TimerDriver::now() < deadline) {
        co_await sleepFor(this->executor, std::min<Duration>(LookInterval, deadline - TimerDriver::now()));
        found = this->result(endedAt, due);
    }
    if (!found && (this->isSlowAsBefore(TimerDriver::now()) || this->isOpenWithoutCalls()))
        found = Liveness::Alive;
    check.liveness = found.value_or(Liveness::Unknown);
    co_return check;
}

std::optional<Liveness> ServerLiveness::result(TimePoint endedAt, TimePoint due) const
{
    if (this->closedAt && *this->closedAt >= endedAt - ClosingTime)
        return Liveness::Closing;
    if (this->hasEnded)
        return Liveness::Ended;
    if (this->answeredCallAt && *this->answeredCallAt >= due)
        return Liveness::Alive;
    return std::nullopt;
}

bool ServerLiveness::isOpenWithoutCalls() const
{
    return this->hasConnectionAnswered && this->connection && !this->callSentAt && this->closedUntil()
        && this->connection->state() == ConnectionState::Open;
}

bool ServerLiveness::isSlowAsBefore(TimePoint now) const
{
    return this->connection && this->answeredCallAt && this->callSentAt
        && now - *this->callSentAt <= this->responseTime * SlownessTolerance;
}

} // namespace peridotgrade
