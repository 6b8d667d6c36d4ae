// Reservation calls to decode engines, and the requests that wait for them.
#include "peridotgrade/gateway/reservation_broker.h"

#include "peridotgrade/core/base/invariant.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {
    // A reservation is answered within a round trip; an engine that takes this long is stuck.
    constexpr std::chrono::milliseconds ReserveTimeout { 250 };
    // Prefill and hand-over end well within this time, or the request is late anyway.
    constexpr std::chrono::milliseconds ReservationTime { 1500 };
} // namespace

struct ReservationBroker::Waiter {
    Waiter(const asio::any_io_executor& executor, std::string attempt)
        : attempt(std::move(attempt))
        , signal(executor, asio::steady_timer::time_point::max())
    {
    }

    std::string attempt;
    /// Never expires; it is cancelled to resume the waiting coroutine.
    asio::steady_timer signal;
    std::optional<EngineReservation> reservation;
    bool isFinished = false;
};

ReservationBroker::ReservationBroker(GatewayState& state, ServiceId service)
    : state(state)
    , service(std::move(service))
    , queue(state.reservedLoad)
{
}

asio::awaitable<std::optional<EngineReservation>> ReservationBroker::acquire(
    std::string attempt, std::uint32_t tokens, TimePoint due, CancellationSignal& cancellation)
{
    auto self = this->shared_from_this();
    RequestId id { ++this->lastId };
    if (!this->queue.add({ id, due, tokens }, this->state.now()))
        co_return std::nullopt;
    auto waiter = std::make_shared<Waiter>(this->state.executor, std::move(attempt));
    this->waiters[id] = waiter;
    cancellation.setHandler([self, id] {
        self->queue.remove(id);
        self->finish(id, std::nullopt);
    });
    this->dispatch();
    boost::system::error_code ignored;
    if (!waiter->isFinished)
        co_await waiter->signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    cancellation.clearHandler();
    co_return waiter->reservation;
}

void ReservationBroker::finish(RequestId id, std::optional<EngineReservation> reservation)
{
    auto found = this->waiters.find(id);
    if (found == this->waiters.end())
        return;
    auto waiter = found->second;
    this->waiters.erase(found);
    waiter->reservation = std::move(reservation);
    waiter->isFinished = true;
    waiter->signal.cancel();
}

void ReservationBroker::dispatch()
{
    // No engine takes a request before then, so waiting longer is useless.
    if (auto until = this->state.allBackingOffUntil(this->service, ServerRole::Decode)) {
        for (RequestId id : this->queue.takeDueBy(*until))
            this->finish(id, std::nullopt);
    }
    auto candidates = this->state.healthyServers(this->service, ServerRole::Decode);
    ReservationSchedule schedule = this->queue.schedule(
        candidates, DataCentreId { this->state.settings.dataCentre }, this->state.now(), this->state.random);
    for (RequestId id : schedule.overdue)
        this->finish(id, std::nullopt);
    for (const ReservationCall& call : schedule.calls)
        this->startCall(call);
    if (schedule.nextAt)
        this->dispatchAt(*schedule.nextAt);
}

void ReservationBroker::dispatchAt(TimePoint due)
{
    if (this->nextDispatchAt && *this->nextDispatchAt <= due)
        return;
    this->nextDispatchAt = due;
    this->state.subscribeAt(due, [weak = this->weak_from_this(), due] {
        auto self = weak.lock();
        if (!self || self->nextDispatchAt != due)
            return;
        self->nextDispatchAt.reset();
        self->dispatch();
    });
}

void ReservationBroker::startCall(const ReservationCall& call)
{
    // The queue chose from the servers of the directory in the same dispatch.
    const ServerRecord* record = this->state.directory.find(call.engine);
    checkInvariant(record != nullptr, Invariant::NoNewWorkWhenLeaving,
        "a reservation is requested from a leaving engine");
    asio::co_spawn(this->state.executor,
        this->requestReservation(this->shared_from_this(), call, this->state.clients.clientFor(*record)),
        asio::detached);
}

asio::awaitable<void> ReservationBroker::requestReservation(
    std::shared_ptr<ReservationBroker>, ReservationCall call, std::shared_ptr<ServerClient> engine)
{
    TimePoint expiresAt = this->state.now() + ReservationTime;
    auto result = co_await engine->reserve(call.tokens, ReservationTime, ReserveTimeout);
    TimePoint now = this->state.now();
    if (auto* id = std::get_if<std::string>(&result)) {
        this->state.metrics.countReservation("granted");
        this->state.health.record(call.engine, ServerCallResult::Answered, now);
        EngineReservation reservation { engine, *id, call.tokens, expiresAt };
        if (this->queue.onAnswer(call, ReservationResult::Granted, now))
            this->finish(call.request, reservation);
        else
            this->cancel(reservation);
    } else {
        this->noteFailure(call, std::get<CallFailure>(result));
    }
    this->dispatch();
}

void ReservationBroker::noteFailure(const ReservationCall& call, const CallFailure& failure)
{
    TimePoint now = this->state.now();
    this->state.metrics.countReservation(failure.isRefusal ? "refused" : "failed");
    this->queue.onAnswer(
        call, failure.isRefusal ? ReservationResult::Refused : ReservationResult::Failed, now);
    if (failure.isRefusal && !failure.isMisdirected)
        return;
    this->state.noteFailure(call.engine, failure);
    auto waiter = this->waiters.find(call.request);
    this->state.log.write(LogLevel::Info, "reservation_failed",
        { { "request", waiter == this->waiters.end() ? "" : waiter->second->attempt },
            { "server", call.engine.raw() }, { "detail", failure.detail } });
}

void ReservationBroker::release(const EngineReservation& reservation)
{
    this->state.reservedLoad.release(reservation.engine->record().id, reservation.tokens);
    this->dispatch();
}

void ReservationBroker::cancel(const EngineReservation& reservation)
{
    this->state.reservedLoad.release(reservation.engine->record().id, reservation.tokens);
    // The engine releases it soon by itself, and may want no requests until then.
    if (this->state.now() >= reservation.expiresAt || this->state.isBackingOff(reservation.engine->record()))
        return;
    asio::co_spawn(
        this->state.executor,
        [](std::shared_ptr<ServerClient> engine, std::string id) -> asio::awaitable<void> {
            co_await engine->releaseReservation(std::move(id));
        }(reservation.engine, reservation.id),
        asio::detached);
}

} // namespace peridotgrade
