// Implementation of the search for memory at decode engines.
#include "peridotgrade/gateway/place_broker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {
    // Reservations asked for at once: enough to keep up with a burst over a round trip of 10 ms.
    constexpr std::uint32_t MostTrials = 6;
    // A reservation is answered within a round trip; an engine that takes this long is stuck.
    constexpr std::chrono::milliseconds TrialTimeout { 250 };
    // Prefill and hand-over end well within it, or the request is late anyway.
    constexpr std::chrono::milliseconds WantedReservation { 1500 };
} // namespace

struct PlaceBroker::Waiter {
    Waiter(const asio::any_io_executor& executor, WaitingRequest request, std::string attempt)
        : request(request)
        , attempt(std::move(attempt))
        , signal(executor)
    {
    }

    WaitingRequest request;
    std::string attempt;
    asio::steady_timer signal;
    std::optional<ReservedPlace> place;
    bool isTrying = false;
    bool hasEnded = false;
};

PlaceBroker::PlaceBroker(GatewayState& state, ServiceId service)
    : state(state)
    , service(std::move(service))
{
}

asio::awaitable<std::optional<ReservedPlace>> PlaceBroker::acquire(
    std::string attempt, std::uint32_t tokens, TimePoint due, Interrupt& interrupt)
{
    auto self = this->shared_from_this();
    RequestId id { ++this->lastId };
    WaitingRequest request { id, due, tokens };
    TimePoint now = this->state.now();
    if (!this->forecast.canServe(now, this->line.tokensBefore(request), due - now))
        co_return std::nullopt;
    auto waiter = std::make_shared<Waiter>(this->state.executor, request, std::move(attempt));
    waiter->signal.expires_at(asio::steady_timer::time_point::max());
    this->waiters[id] = waiter;
    this->line.add(waiter->request);
    interrupt.attach([self, waiter] { self->end(*waiter); });
    this->pump();
    this->pumpLater(due - this->state.now());
    boost::system::error_code ignored;
    if (!waiter->hasEnded)
        co_await waiter->signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    interrupt.detach();
    co_return waiter->place;
}

void PlaceBroker::end(Waiter& waiter)
{
    if (std::exchange(waiter.hasEnded, true))
        return;
    this->line.remove(waiter.request.id);
    this->waiters.erase(waiter.request.id);
    waiter.signal.cancel();
}

void PlaceBroker::rejectOverdue()
{
    for (RequestId id : this->line.takeOverdue(this->state.now())) {
        auto found = this->waiters.find(id);
        if (found == this->waiters.end())
            continue;
        auto waiter = found->second;
        this->end(*waiter);
    }
}

void PlaceBroker::pump()
{
    this->rejectOverdue();
    TimePoint now = this->state.now();
    auto candidates = this->state.trusted(this->service, ServerStage::Decode);
    for (const WaitingRequest& request : this->line.inOrder()) {
        if (this->trials >= MostTrials)
            return;
        auto waiter = this->waiters.at(request.id);
        if (waiter->isTrying)
            continue;
        auto choice = this->state.memory.choose(candidates, DataCentreId { this->state.settings.dataCentre },
            request.tokens, now, this->state.random);
        if (!choice)
            continue;
        for (const ServerRecord* candidate : candidates) {
            if (candidate->id == *choice)
                this->startTrial(waiter, *candidate);
        }
    }
    this->noteLine();
    if (this->line.size() == 0)
        return;
    if (auto next = this->state.memory.nextRefusalEnd(now))
        this->pumpLater(*next - now);
    // Without any engine the list of servers may bring one.
    if (candidates.empty())
        this->pumpLater(EngineUse::RefusalLifetime);
}

void PlaceBroker::noteLine()
{
    // A request whose reservation is under way does not wait for memory yet.
    bool isBusy = std::any_of(this->waiters.begin(), this->waiters.end(),
        [](const auto& each) { return !each.second->isTrying; });
    if (isBusy)
        this->forecast.noteBusy(this->state.now());
    else
        this->forecast.noteIdle();
}

void PlaceBroker::pumpLater(Duration delay)
{
    auto self = this->weak_from_this();
    this->state.subscribeAfter(std::max(delay, Duration::zero()), [self] {
        if (auto broker = self.lock())
            broker->pump();
    });
}

void PlaceBroker::startTrial(const std::shared_ptr<Waiter>& waiter, const ServerRecord& server)
{
    waiter->isTrying = true;
    ++this->trials;
    this->state.memory.reserve(server.id, waiter->request.tokens);
    asio::co_spawn(this->state.executor,
        this->tryReserve(this->shared_from_this(), waiter, this->state.clients.of(server)), asio::detached);
}

asio::awaitable<void> PlaceBroker::tryReserve(
    std::shared_ptr<PlaceBroker>, std::shared_ptr<Waiter> waiter, std::shared_ptr<ServerClient> engine)
{
    std::uint32_t tokens = waiter->request.tokens;
    const ServerId server = engine->record().id;
    TimePoint lapsesAt = this->state.now() + WantedReservation;
    auto result = co_await engine->reserve(tokens, WantedReservation, TrialTimeout);
    --this->trials;
    waiter->isTrying = false;
    TimePoint now = this->state.now();
    if (auto* reservation = std::get_if<std::string>(&result)) {
        this->state.metrics.countReservation("granted");
        this->state.standing.record(server, CallResult::Answered, now);
        ReservedPlace place { engine, *reservation, tokens, lapsesAt };
        if (waiter->hasEnded) {
            this->giveBack(place);
        } else {
            waiter->place = place;
            this->forecast.noteGrant(now, tokens);
            this->end(*waiter);
        }
    } else {
        const auto& failure = std::get<CallFailure>(result);
        this->state.metrics.countReservation(failure.isRefusal ? "refused" : "failed");
        this->state.memory.release(server, tokens);
        this->state.memory.noteRefusal(server, failure.isRefusal ? tokens : 0, now);
        if (!failure.isRefusal || failure.isOtherServer) {
            this->state.standing.record(
                server, failure.isOtherServer ? CallResult::Superseded : CallResult::Unreachable, now);
            this->state.log.write(LogLevel::Info, "reservation_failed",
                { { "request", waiter->attempt }, { "server", server.raw() }, { "detail", failure.detail } });
        }
    }
    this->pump();
}

void PlaceBroker::release(const ReservedPlace& place)
{
    this->state.memory.release(place.engine->record().id, place.tokens);
    this->pump();
}

void PlaceBroker::giveBack(const ReservedPlace& place)
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
