// Implementation of the search for memory at decode engines.
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
    constexpr std::chrono::milliseconds TrialTimeout { 250 };
    // Prefill and hand-over end well within it, or the request is late anyway.
    constexpr std::chrono::milliseconds WantedReservation { 1500 };
} // namespace

struct ReservationBroker::Waiter {
    Waiter(const asio::any_io_executor& executor, std::string attempt)
        : attempt(std::move(attempt))
        , signal(executor, asio::steady_timer::time_point::max())
    {
    }

    std::string attempt;
    asio::steady_timer signal;
    std::optional<EngineReservation> place;
    bool hasEnded = false;
};

ReservationBroker::ReservationBroker(GatewayState& state, ServiceId service)
    : state(state)
    , service(std::move(service))
    , queue(state.memory)
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
        self->end(id, std::nullopt);
    });
    this->takeTurn();
    boost::system::error_code ignored;
    if (!waiter->hasEnded)
        co_await waiter->signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    cancellation.clearHandler();
    co_return waiter->place;
}

void ReservationBroker::end(RequestId id, std::optional<EngineReservation> place)
{
    auto found = this->waiters.find(id);
    if (found == this->waiters.end())
        return;
    auto waiter = found->second;
    this->waiters.erase(found);
    waiter->place = std::move(place);
    waiter->hasEnded = true;
    waiter->signal.cancel();
}

void ReservationBroker::takeTurn()
{
    auto candidates = this->state.trusted(this->service, ServerRole::Decode);
    ReservationSchedule turn = this->queue.turn(
        candidates, DataCentreId { this->state.settings.dataCentre }, this->state.now(), this->state.random);
    for (RequestId id : turn.overdue)
        this->end(id, std::nullopt);
    for (const ReservationCall& trial : turn.trials)
        this->startTrial(trial);
    if (turn.next)
        this->takeTurnAt(*turn.next);
}

void ReservationBroker::takeTurnAt(TimePoint due)
{
    if (this->nextTurn && *this->nextTurn <= due)
        return;
    this->nextTurn = due;
    this->state.subscribeAt(due, [weak = this->weak_from_this(), due] {
        auto self = weak.lock();
        if (!self || self->nextTurn != due)
            return;
        self->nextTurn.reset();
        self->takeTurn();
    });
}

void ReservationBroker::startTrial(const ReservationCall& trial)
{
    // The queue chose among the servers of the directory in the same turn.
    const ServerRecord* record = this->state.directory.find(trial.engine);
    checkInvariant(
        record != nullptr, Invariant::NoNewWorkWhenLeaving, "a place is asked of a leaving engine");
    asio::co_spawn(this->state.executor,
        this->tryReserve(this->shared_from_this(), trial, this->state.clients.of(*record)), asio::detached);
}

asio::awaitable<void> ReservationBroker::tryReserve(
    std::shared_ptr<ReservationBroker>, ReservationCall trial, std::shared_ptr<ServerClient> engine)
{
    TimePoint lapsesAt = this->state.now() + WantedReservation;
    auto result = co_await engine->reserve(trial.tokens, WantedReservation, TrialTimeout);
    TimePoint now = this->state.now();
    if (auto* reservation = std::get_if<std::string>(&result)) {
        this->state.metrics.countReservation("granted");
        this->state.standing.record(trial.engine, ServerCallResult::Answered, now);
        EngineReservation place { engine, *reservation, trial.tokens, lapsesAt };
        if (this->queue.onAnswer(trial, ReservationResult::Granted, now))
            this->end(trial.request, place);
        else
            this->giveBack(place);
    } else {
        this->noteFailure(trial, std::get<CallFailure>(result));
    }
    this->takeTurn();
}

void ReservationBroker::noteFailure(const ReservationCall& trial, const CallFailure& failure)
{
    TimePoint now = this->state.now();
    this->state.metrics.countReservation(failure.isRefusal ? "refused" : "failed");
    this->queue.onAnswer(
        trial, failure.isRefusal ? ReservationResult::Refused : ReservationResult::Failed, now);
    if (failure.isRefusal && !failure.isOtherServer)
        return;
    this->state.noteFailure(trial.engine, failure);
    auto waiter = this->waiters.find(trial.request);
    this->state.log.write(LogLevel::Info, "reservation_failed",
        { { "request", waiter == this->waiters.end() ? "" : waiter->second->attempt },
            { "server", trial.engine.raw() }, { "detail", failure.detail } });
}

void ReservationBroker::release(const EngineReservation& place)
{
    this->state.memory.release(place.engine->record().id, place.tokens);
    this->takeTurn();
}

void ReservationBroker::giveBack(const EngineReservation& place)
{
    this->state.memory.release(place.engine->record().id, place.tokens);
    if (this->state.now() >= place.lapsesAt)
        return;
    asio::co_spawn(
        this->state.executor,
        [](std::shared_ptr<ServerClient> engine, std::string reservation) -> asio::awaitable<void> {
            co_await engine->dropReservation(std::move(reservation));
        }(place.engine, place.reservation),
        asio::detached);
}

} // namespace peridotgrade
