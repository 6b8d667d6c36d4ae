// Reservation calls to decode engines, and the requests that wait for them.
#include "peridotgrade/gateway/reservation_broker.h"

#include "peridotgrade/core/base/invariant.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cmath>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {
    // A reservation is answered within a round trip; an engine that takes this long is stuck.
    constexpr std::chrono::milliseconds ReserveTimeout { 250 };
    // Lifetime of a reservation if the configuration states no limit.
    constexpr std::chrono::milliseconds DefaultLifetime { 1500 };
    // Refusals of one request that get a line each; in an overload there are dozens.
    constexpr std::uint32_t MaxRefusalLines = 6;
} // namespace

struct ReservationBroker::Waiter {
    Waiter(const asio::any_io_executor& executor, RequestTrace& trace)
        : trace(trace)
        , signal(executor, asio::steady_timer::time_point::max())
    {
    }

    /// Of the waiting call, so it lives as long as the waiter is registered.
    RequestTrace& trace;
    /// Never expires; it is cancelled to resume the waiting coroutine.
    asio::steady_timer signal;
    std::optional<EngineReservation> reservation;
    bool isFinished = false;
    /// Engines that refused, of which the first `MaxRefusalLines` have a line of their own.
    std::uint32_t refusals = 0;
};

ReservationBroker::ReservationBroker(GatewayState& state, ServiceId service)
    : state(state)
    , service(std::move(service))
    , lifetime(DefaultLifetime)
    , queue(state.reservedLoad, state.limits)
{
}

asio::awaitable<std::optional<EngineReservation>> ReservationBroker::acquire(
    RequestTrace& trace, WaitingRequest request, CancellationSignal& cancellation)
{
    auto self = this->shared_from_this();
    RequestId id { ++this->lastId };
    request.id = id;
    if (auto rejection = this->queue.add(request, this->state.now())) {
        noteRejection(trace, *rejection, this->state.now());
        co_return std::nullopt;
    }
    auto waiter = std::make_shared<Waiter>(this->state.executor, trace);
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
    if (waiter->refusals > MaxRefusalLines)
        waiter->trace.add(
            this->state.now(), "reservation_refusals", { { "count", std::to_string(waiter->refusals) } });
    waiter->signal.cancel();
}

void ReservationBroker::dispatch()
{
    // No engine takes a request before then, so waiting longer is useless.
    if (auto until = this->state.allClosedUntil(this->service, ServerRole::Decode)) {
        for (RequestId id : this->queue.takeDueBy(*until, this->state.now()))
            this->finish(id, std::nullopt);
    }
    auto candidates = this->state.healthyServers(this->service, ServerRole::Decode);
    this->queue.setKeepsEngines(this->state.isLoadAware());
    ReservationSchedule schedule = this->queue.schedule(
        candidates, DataCentreId { this->state.settings.dataCentre }, this->state.now(), this->state.random);
    for (RequestId id : schedule.overdue)
        this->finish(id, std::nullopt);
    for (const EarlyRejection& rejection : schedule.rejected) {
        if (auto waiter = this->waiters.find(rejection.request); waiter != this->waiters.end())
            noteRejection(waiter->second->trace, rejection, this->state.now());
        this->finish(rejection.request, std::nullopt);
    }
    for (const ReservationCall& call : schedule.calls)
        this->startCall(call);
    if (schedule.nextAt)
        this->dispatchAt(*schedule.nextAt);
}

void ReservationBroker::noteRejection(RequestTrace& trace, const EarlyRejection& rejection, TimePoint now)
{
    trace.addFailure(now, "rejected_early",
        { { "reason", std::string { nameOf(rejection.reason) } },
            { "tenant_priority", std::to_string(rejection.priority.tenant) },
            { "route_priority", std::to_string(rejection.priority.route) },
            { "tokens_ahead", std::to_string(rejection.tokensAhead) },
            { "tokens_per_s", std::to_string(std::llround(rejection.tokensPerSecond)) },
            { "left_ms", millisecondsText(rejection.timeLeft) },
            { "served_percent", std::to_string(std::llround(100 * rejection.servedShare)) } });
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
    TimePoint expiresAt = this->state.now() + this->lifetime;
    auto result = co_await engine->reserve(call.tokens, this->lifetime, ReserveTimeout);
    call.callReserve.reset();
    TimePoint now = this->state.now();
    if (auto* id = std::get_if<std::string>(&result)) {
        this->state.metrics.countReservation("granted");
        this->state.health.record(call.engine, ServerCallResult::Answered, now);
        EngineReservation reservation { engine, *id, call.tokens, expiresAt, call.runReserve };
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
    bool isRefused = failure.isRefusal && !failure.isMisdirected;
    auto waiter = this->waiters.find(call.request);
    if (waiter != this->waiters.end() && ++waiter->second->refusals <= MaxRefusalLines) {
        waiter->second->trace.add(now, isRefused ? "reservation_refused" : "reservation_failed",
            { { "server", call.engine.raw() }, { "tokens", std::to_string(call.tokens) },
                { "own_tokens_there", std::to_string(this->state.reservedLoad.tokensAt(call.engine)) },
                { "detail", failure.detail } });
    }
    if (!isRefused)
        this->state.noteFailure(call.engine, failure);
}

void ReservationBroker::release(const EngineReservation& reservation)
{
    this->state.reservedLoad.release(reservation.engine->record().id, reservation.tokens);
    this->dispatch();
}

void ReservationBroker::cancel(const EngineReservation& reservation)
{
    this->state.reservedLoad.release(reservation.engine->record().id, reservation.tokens);
    if (reservation.runReserve)
        reservation.runReserve->use();
    // The engine releases it soon by itself, and may want no requests until then.
    if (this->state.now() >= reservation.expiresAt || !this->state.mayCall(reservation.engine->record()))
        return;
    asio::co_spawn(
        this->state.executor,
        [](std::shared_ptr<ServerClient> engine, std::string id) -> asio::awaitable<void> {
            co_await engine->releaseReservation(std::move(id));
        }(reservation.engine, reservation.id),
        asio::detached);
}

} // namespace peridotgrade
