// The part of the engine client that monitors the engine, reads cache events and sends configuration
// commands.
#include "engine_client_impl.h"

#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {
    constexpr std::chrono::milliseconds CachePollWait { 1000 };
    constexpr std::chrono::milliseconds CacheRetryDelay { 1000 };
    constexpr std::chrono::milliseconds CommandTimeout { 2000 };
    constexpr std::uint16_t HttpAccepted = 202;
    constexpr std::uint16_t HttpConflict = 409;

    CommandResult commandResultFrom(const std::variant<HttpResponse, NetError>& result)
    {
        if (const auto* error = std::get_if<NetError>(&result))
            return error->mayHaveArrived ? CommandResult::AnswerLost : CommandResult::Refused;
        std::uint16_t status = std::get<HttpResponse>(result).status;
        if (status == HttpAccepted)
            return CommandResult::Accepted;
        return status == HttpConflict ? CommandResult::StaleFence : CommandResult::Refused;
    }
} // namespace

EngineClient::Impl::Impl(
    asio::any_io_executor executor, EngineClientSettings settings, EngineHandlers handlers)
    : strand(asio::make_strand(std::move(executor)))
    , settings(std::move(settings))
    , handlers(std::move(handlers))
    , http(this->strand, this->settings.engine)
{
}

void EngineClient::Impl::start()
{
    auto self = this->shared_from_this();
    asio::co_spawn(this->strand, this->watchState(self), asio::detached);
    if (this->handlers.onCacheChanged)
        asio::co_spawn(this->strand, this->watchCache(self), asio::detached);
}

void EngineClient::Impl::stop()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->isStopped = true;
        self->declareDead();
    });
}

void EngineClient::Impl::emit(EngineEvent event)
{
    if (!this->isStopped && this->handlers.onEvent)
        this->handlers.onEvent(event);
}

asio::awaitable<void> EngineClient::Impl::pause(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(this->strand, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> EngineClient::Impl::watchState(Self)
{
    while (!this->isStopped) {
        co_await this->checkState();
        co_await this->pause(this->settings.stateInterval);
    }
}

asio::awaitable<void> EngineClient::Impl::checkState()
{
    HttpRequest request = stateRequest();
    auto result = co_await this->http.send(std::move(request), this->settings.stateTimeout);
    if (const auto* error = std::get_if<NetError>(&result)) {
        this->onStateReadFailed(*error);
        if (this->handlers.onUnreachable && !this->isStopped)
            this->handlers.onUnreachable();
        co_return;
    }
    auto state = readState(std::get<HttpResponse>(result));
    if (const auto* read = std::get_if<EngineState>(&state))
        this->onState(*read);
}

void EngineClient::Impl::onState(const EngineState& state)
{
    this->lastAnswerAt = TimerDriver::now();
    if (this->isStopped)
        return;
    if (this->isUp && state.incarnation != this->lastState.incarnation)
        this->declareDead();
    bool hasChanged = !this->isUp || state != this->lastState;
    this->isUp = true;
    this->lastState = state;
    if (hasChanged)
        this->emit(engineUpFrom(state));
    if (this->handlers.onState)
        this->handlers.onState(state);
}

void EngineClient::Impl::onStateReadFailed(const NetError& error)
{
    bool hasConnectFailed = error.kind == NetErrorKind::ConnectFailed;
    bool isOverdue = TimerDriver::now() - this->lastAnswerAt >= this->settings.stateTimeout;
    if (hasConnectFailed || isOverdue)
        this->declareDead();
}

void EngineClient::Impl::declareDead()
{
    if (!this->isUp)
        return;
    this->isUp = false;
    ++this->deathCount;
    this->nextCacheEvent = 0;
    auto lost = std::move(this->calls);
    this->calls.clear();
    for (const auto& [stream, call] : lost) {
        call->isLost = true;
        if (call->body)
            call->body->close();
    }
    this->emit(EngineDied {});
}

asio::awaitable<void> EngineClient::Impl::watchCache(Self)
{
    HttpClient client(this->strand, this->settings.engine);
    while (!this->isStopped) {
        std::uint64_t deathsAtStart = this->deathCount;
        HttpRequest request = cacheEventsRequest(this->nextCacheEvent, CachePollWait);
        auto result = co_await client.send(std::move(request), CachePollWait + this->settings.stateTimeout);
        auto* response = std::get_if<HttpResponse>(&result);
        auto page = response ? readCacheEvents(*response) : EngineError {};
        auto* read = std::get_if<CachePage>(&page);
        if (!read) {
            co_await this->pause(CacheRetryDelay);
            continue;
        }
        if (deathsAtStart != this->deathCount || this->isStopped)
            continue;
        this->nextCacheEvent = read->next;
        for (const CacheChanged& change : read->changes)
            this->handlers.onCacheChanged(change);
    }
}

void EngineClient::Impl::command(ConfigurationCommand command, std::function<void(CommandResult)> onAnswer)
{
    asio::post(this->strand,
        [self = this->shared_from_this(), command = std::move(command),
            onAnswer = std::move(onAnswer)]() mutable {
            asio::co_spawn(self->strand, self->sendCommand(self, std::move(command), std::move(onAnswer)),
                asio::detached);
        });
}

asio::awaitable<void> EngineClient::Impl::sendCommand(
    Self, ConfigurationCommand command, std::function<void(CommandResult)> onAnswer)
{
    HttpRequest request = commandRequest(command, this->settings.weightStore);
    auto result = co_await this->http.send(std::move(request), CommandTimeout, false);
    onAnswer(commandResultFrom(result));
}

EngineClient::EngineClient(
    asio::any_io_executor executor, EngineClientSettings settings, EngineHandlers handlers)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(settings), std::move(handlers)))
{
}

EngineClient::~EngineClient() { this->impl->stop(); }

void EngineClient::start() { this->impl->start(); }

void EngineClient::stop() { this->impl->stop(); }

void EngineClient::command(EngineCommand command) { this->impl->command(std::move(command)); }

void EngineClient::command(ConfigurationCommand command, std::function<void(CommandResult)> onAnswer)
{
    this->impl->command(std::move(command), std::move(onAnswer));
}

} // namespace peridotgrade
