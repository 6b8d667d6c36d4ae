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

    constexpr auto Names = std::to_array<std::string_view>(
        { "alive", "ended_later", "silent", "ended", "closing", "not_listening", "unknown" });

    constexpr std::chrono::milliseconds LookInterval { 10 };
    // Servers state their idle time-outs in whole seconds, and may have shorter ones that they do not state.
    constexpr std::chrono::milliseconds RenewalInterval { 250 };
    constexpr std::chrono::milliseconds LimitedRenewalInterval { 1000 };
    constexpr std::chrono::milliseconds MinCallInterval { 5 };
    constexpr std::chrono::milliseconds ReopenInterval { 100 };
    // Between calls that have not been answered by the process.
    constexpr std::chrono::milliseconds RetryInterval { 100 };
    constexpr std::chrono::seconds CallTimeout { 3 };
    // The connection is not looked at meanwhile.
    constexpr std::chrono::milliseconds SpareOpenTimeout { 100 };
    // A process that is being stopped closes idle connections first and gives running answers some time.
    constexpr std::chrono::seconds ClosingTime { 2 };
    // In place of the settle time if no connection was kept since before the end of the answer.
    constexpr std::chrono::seconds UnkeptSettleTime { 2 };
    constexpr int SlownessTolerance = 2;
    // A system closes what a process had open within milliseconds, and a refusal takes a round trip. A
    // process that closes its connections itself goes on longer.
    constexpr std::chrono::milliseconds ProcessEndTime { 100 };
    // A refusal takes one round trip.
    constexpr std::chrono::milliseconds RefusalTimeout { 100 };

} // namespace

std::string_view nameOf(Liveness liveness) { return nameAt(Names, liveness); }

ServerLiveness::ServerLiveness(asio::any_io_executor executor, std::shared_ptr<ServerClient> client,
    std::string healthPath, CallRules rules)
    : executor(std::move(executor))
    , client(std::move(client))
    , healthPath(std::move(healthPath))
    , rules(std::move(rules))
{
}

void ServerLiveness::start()
{
    this->startedAt = TimerDriver::now();
    asio::co_spawn(this->executor, keepCalling(this->weak_from_this()), asio::detached);
}

asio::awaitable<void> ServerLiveness::keepCalling(std::weak_ptr<ServerLiveness> watched)
{
    auto executor = co_await asio::this_coro::executor;
    while (auto self = watched.lock()) {
        co_await takeStep(self);
        self.reset();
        co_await sleepFor(executor, LookInterval);
    }
}

asio::awaitable<void> ServerLiveness::takeStep(Self self)
{
    if (self->isBusy)
        co_return;
    self->isBusy = true;
    self->lookAtConnection();
    bool isCalling = true;
    while (isCalling) {
        bool isOpenDue = !self->connection && !self->hasEnded && TimerDriver::now() >= self->nextOpenAt;
        if (isOpenDue)
            co_await self->openConnection(false);
        isCalling = self->connection && self->mayCall() && self->isCallDue(TimerDriver::now());
        if (isCalling)
            co_await self->callServer();
    }
    if (self->loss && self->isClosedByProcess(*self->loss, TimerDriver::now()))
        self->noteClosedByProcess();
    self->isBusy = false;
}

void ServerLiveness::lookAtConnection()
{
    if (!this->connection)
        return;
    TimePoint now = TimerDriver::now();
    // One look: the system reports a reset once, and then the end.
    auto state = this->connection->state();
    auto spareState = this->spare ? this->spare->state() : ConnectionState::Open;
    if (state != ConnectionState::Open)
        this->noteLost(state == ConnectionState::PeerClosed, now);
    else if (spareState != ConnectionState::Open)
        this->noteSpareLost(spareState == ConnectionState::PeerClosed);
    else
        this->openAt = now;
}

asio::awaitable<void> ServerLiveness::probeListener(Self self)
{
    TimePoint began = TimerDriver::now();
    bool isAccepted = co_await self->client->acceptsConnection(ProcessEndTime);
    if (isAccepted)
        self->noteAccepted(began);
}

bool ServerLiveness::isCallDue(TimePoint now) const
{
    bool isWanted = this->loss.has_value()
        || std::any_of(
            this->wantedCalls.begin(), this->wantedCalls.end(), [now](TimePoint due) { return due <= now; });
    return now >= this->nextCallAt && (isWanted || now - this->lastCallAt >= this->renewalInterval());
}

Duration ServerLiveness::renewalInterval() const
{
    return this->rules.isLimited() ? LimitedRenewalInterval : RenewalInterval;
}

asio::awaitable<void> ServerLiveness::callServer()
{
    TimePoint sentAt = TimerDriver::now();
    this->callSentAt = sentAt;
    this->lastCallAt = sentAt;
    StatusCallResult result = co_await this->connection->call(CallTimeout);
    this->callSentAt.reset();
    TimePoint now = TimerDriver::now();
    this->nextCallAt = now + (result == StatusCallResult::Answered ? MinCallInterval : RetryInterval);
    if (result == StatusCallResult::Replaced)
        this->noteEnded();
    if (result == StatusCallResult::ConnectionLost) {
        this->noteLost(false, sentAt);
        co_return;
    }
    if (result == StatusCallResult::Answered) {
        if (this->loss)
            this->noteClosedByProcess();
        this->openAt = now;
        this->answeredCallAt = sentAt;
        this->responseTime = now - sentAt;
        std::erase_if(this->wantedCalls, [sentAt](TimePoint due) { return due <= sentAt; });
        this->hasConnectionAnswered = true;
        this->usedAt = now;
        if (!this->keptSince)
            this->keptSince = now;
    }
    if (this->connection->isReusable()) {
        this->spare.reset();
        co_return;
    }
    this->connection.reset();
    this->nextOpenAt = now + ReopenInterval;
    // After a whole answer the server closes the connection as it has announced.
    if (result == StatusCallResult::Answered)
        co_await this->continueOnNextConnection();
}

asio::awaitable<void> ServerLiveness::continueOnNextConnection()
{
    if (this->spare) {
        this->connection = std::move(this->spare);
        this->spare = nullptr;
        this->hasConnectionAnswered = false;
        this->isContinued = true;
        this->usedAt = this->spareOpenedAt;
    } else {
        co_await this->openConnection(true);
    }
    if (!this->connection)
        co_return;
    TimePoint began = TimerDriver::now();
    auto opened = co_await this->client->openStatusConnection(this->healthPath, SpareOpenTimeout);
    if (auto* connection = std::get_if<std::shared_ptr<StatusConnection>>(&opened)) {
        this->spare = std::move(*connection);
        this->spareOpenedAt = TimerDriver::now();
        this->noteAccepted(began);
    }
}

void ServerLiveness::noteAccepted(TimePoint began)
{
    // Another process may have the address afterwards.
    if (!this->loss && !this->hasEnded)
        this->acceptedAt = std::max(this->acceptedAt.value_or(began), began);
}

asio::awaitable<void> ServerLiveness::openConnection(bool isContinued)
{
    TimePoint began = TimerDriver::now();
    auto opened
        = co_await this->client->openStatusConnection(this->healthPath, CallTimeout, this->isTurnedAway);
    this->isTurnedAway = false;
    if (auto* error = std::get_if<NetError>(&opened)) {
        this->nextOpenAt = TimerDriver::now() + this->reopenInterval();
        if (error->kind == NetErrorKind::ConnectRefused && isContinued)
            this->loss = Loss { this->usedAt, TimerDriver::now(), this->keptSince };
        if (error->kind == NetErrorKind::ConnectRefused)
            this->noteEnded();
        co_return;
    }
    this->noteAccepted(began);
    this->connection = std::get<std::shared_ptr<StatusConnection>>(std::move(opened));
    this->hasConnectionAnswered = false;
    this->isContinued = isContinued;
    this->usedAt = TimerDriver::now();
    this->openAt = this->usedAt;
    if (!isContinued) {
        this->connectedSince = this->usedAt;
        this->keptSince.reset();
    }
}

Duration ServerLiveness::reopenInterval() const { return this->loss ? LookInterval : ReopenInterval; }

void ServerLiveness::noteLost(bool isPeerClosed, TimePoint usableAt)
{
    TimePoint now = TimerDriver::now();
    // Servers close idle connections, and reset further ones than they take as soon as these are open.
    bool wasIdle = usableAt - this->usedAt > 2 * this->renewalInterval();
    bool wasTaken = isPeerClosed || this->openAt > this->usedAt;
    bool wasKept = this->hasConnectionAnswered || (this->isContinued && wasTaken);
    this->isTurnedAway = !this->hasConnectionAnswered && !isPeerClosed;
    this->connection.reset();
    this->spare.reset();
    this->nextOpenAt = now + this->reopenInterval();
    if (!wasKept || wasIdle)
        return;
    this->noteLoss();
}

void ServerLiveness::noteSpareLost(bool isPeerClosed)
{
    bool wasTaken = isPeerClosed || this->openAt > this->spareOpenedAt;
    this->spare.reset();
    if (wasTaken)
        this->noteLoss();
}

void ServerLiveness::noteLoss()
{
    TimePoint now = TimerDriver::now();
    this->lostAt = now;
    this->loss = Loss { this->openAt, now, this->keptSince };
    this->nextOpenAt = now;
    this->nextCallAt = now;
}

void ServerLiveness::noteEnded()
{
    this->hasEnded = true;
    if (this->loss && this->isClosedByProcess(*this->loss, TimerDriver::now()))
        this->noteClosedByProcess();
    if (this->loss)
        this->keptUntilEndSince = this->loss->keptSince;
    this->loss.reset();
}

bool ServerLiveness::isClosedByProcess(const Loss& loss, TimePoint now) const
{
    return now > loss.openAt + ProcessEndTime;
}

void ServerLiveness::noteClosedByProcess()
{
    this->closedAt = this->loss->noticedAt;
    this->loss.reset();
}

bool ServerLiveness::hasEndedListening(TimePoint endedAt) const
{
    bool wasKept = this->keptUntilEndSince && *this->keptUntilEndSince <= endedAt;
    return wasKept && this->acceptedAt && *this->acceptedAt >= endedAt;
}

bool ServerLiveness::hasEndedLater(TimePoint endedAt) const
{
    bool hasAnswered = this->answeredCallAt && *this->answeredCallAt >= endedAt;
    return hasAnswered && this->hasEndedListening(endedAt) && !this->answerEnds.isInLastSuccession(endedAt);
}

asio::awaitable<LivenessCheck> ServerLiveness::check(
    Duration settleTime, Duration timeout, Duration newConnectionAllowance)
{
    auto self = this->shared_from_this();
    TimePoint endedAt = TimerDriver::now();
    TimePoint deadline = endedAt + timeout;
    TimePoint due = std::min(endedAt + settleTime, deadline);
    TimePoint unkeptDue = endedAt + UnkeptSettleTime;
    // A limited server is not called more often, and answers only later calls.
    TimePoint firstDue = this->rules.isLimited() ? due : endedAt;
    this->wantedCalls.insert(this->wantedCalls.end(), { firstDue, due, unkeptDue });
    this->answerEnds.add(endedAt);
    asio::co_spawn(this->executor, takeStep(self), asio::detached);
    asio::co_spawn(this->executor, probeListener(self), asio::detached);
    LivenessCheck check;
    check.wasWatched = this->isKeptSince(endedAt, newConnectionAllowance);
    auto found = this->result(endedAt, due, newConnectionAllowance);
    while (!found && TimerDriver::now() < deadline) {
        co_await sleepFor(this->executor, std::min<Duration>(LookInterval, deadline - TimerDriver::now()));
        // The end of a connection is noticed at once while a call is in progress.
        if (this->callSentAt)
            this->openAt = TimerDriver::now();
        found = this->result(endedAt, due, newConnectionAllowance);
    }
    if (!found && this->isKeptSince(endedAt, newConnectionAllowance)
        && this->isSlowAsBefore(TimerDriver::now()))
        found = Liveness::Alive;
    if (!found && this->isKeptSince(endedAt, newConnectionAllowance) && this->isSilentSince(endedAt))
        found = Liveness::Silent;
    if (found == Liveness::Alive || found == Liveness::Silent) {
        bool isRefusing = co_await this->client->refusesConnections(RefusalTimeout, Duration::zero());
        if (isRefusing) {
            bool hasEndedSince = co_await this->endsSoon(endedAt);
            found = hasEndedSince ? Liveness::EndedLater : Liveness::NotListening;
        }
    }
    for (TimePoint wanted : { firstDue, due, unkeptDue })
        this->removeWantedCall(wanted);
    check.liveness = found.value_or(Liveness::Unknown);
    if (this->answeredCallAt && *this->answeredCallAt >= endedAt)
        check.answeredAfter = *this->answeredCallAt - endedAt;
    if (this->lostAt)
        check.closedAfter = *this->lostAt - endedAt;
    if (this->callSentAt)
        check.waitingAfter = *this->callSentAt - endedAt;
    co_return check;
}

asio::awaitable<bool> ServerLiveness::endsSoon(TimePoint endedAt)
{
    TimePoint until = TimerDriver::now() + ProcessEndTime;
    while (!this->hasEnded && TimerDriver::now() < until)
        co_await sleepFor(this->executor, LookInterval);
    co_return this->hasEndedListening(endedAt);
}

std::optional<Liveness> ServerLiveness::result(
    TimePoint endedAt, TimePoint due, Duration newConnectionAllowance) const
{
    bool isLossOpen = this->loss && !this->isClosedByProcess(*this->loss, TimerDriver::now());
    if (isLossOpen && this->loss->noticedAt >= endedAt - ClosingTime)
        return std::nullopt;
    std::optional<TimePoint> closed = this->loss ? this->loss->noticedAt : this->closedAt;
    if (closed && *closed >= endedAt - ClosingTime)
        return Liveness::Closing;
    if (this->hasEnded)
        return this->hasEndedLater(endedAt) ? Liveness::EndedLater : Liveness::Ended;
    bool isKept = this->isKeptSince(endedAt, newConnectionAllowance);
    if (this->answeredCallAt && *this->answeredCallAt >= (isKept ? due : endedAt + UnkeptSettleTime))
        return Liveness::Alive;
    if (this->isOpenWithoutCalls(endedAt) && TimerDriver::now() >= due)
        return Liveness::Alive;
    return std::nullopt;
}

bool ServerLiveness::isKeptSince(TimePoint endedAt, Duration newConnectionAllowance) const
{
    if (!this->connection)
        return false;
    TimePoint allowedAt = this->startedAt + newConnectionAllowance;
    bool isShort = endedAt <= allowedAt && this->connectedSince <= allowedAt;
    return isShort || (this->keptSince && *this->keptSince <= endedAt);
}

void ServerLiveness::removeWantedCall(TimePoint due)
{
    auto found = std::find(this->wantedCalls.begin(), this->wantedCalls.end(), due);
    if (found != this->wantedCalls.end())
        this->wantedCalls.erase(found);
}

bool ServerLiveness::isOpenWithoutCalls(TimePoint endedAt) const
{
    bool isOpen = this->connection && !this->callSentAt
        && this->connectedSince <= std::max(endedAt, this->startedAt + NewConnectionAllowance);
    return isOpen && this->rules.closedUntil();
}

bool ServerLiveness::isSilentSince(TimePoint endedAt) const
{
    bool hasAnswered = this->answeredCallAt && *this->answeredCallAt >= endedAt;
    bool hasAccepted = this->acceptedAt && *this->acceptedAt >= endedAt;
    return this->callSentAt && hasAnswered && hasAccepted && !this->answerEnds.isInLastSuccession(endedAt);
}

bool ServerLiveness::isSlowAsBefore(TimePoint now) const
{
    return this->connection && this->answeredCallAt && this->callSentAt
        && now - *this->callSentAt <= this->responseTime * SlownessTolerance;
}

} // namespace peridotgrade
