// Connects a ModelHost with an EngineClient.
#include "peridotgrade/agent/engine_backend.h"

#include "peridotgrade/agent/host_runner.h"

namespace peridotgrade {

class EngineBackend::Impl : public std::enable_shared_from_this<EngineBackend::Impl> {
public:
    Impl(boost::asio::any_io_executor executor, EngineBackendSettings settings, EventSink& events,
        SendToEntryHandler send)
        : executor(std::move(executor))
        , settings(std::move(settings))
        , random(this->settings.seed)
        , send(std::move(send))
        , runner(std::make_shared<HostRunner<ModelHost>>(
              [this, &events](TimerService& timers) { return this->makeHost(timers, events); },
              [this](HostAction action) { this->perform(std::move(action)); }))
    {
    }

    void start()
    {
        EngineHandlers handlers;
        std::weak_ptr<Impl> weak = this->weak_from_this();
        handlers.onEvent = [weak](const EngineEvent& event) {
            if (auto self = weak.lock())
                self->runner->step([&event](ModelHost& host) { host.onEngineEvent(event); });
        };
        handlers.onState = this->stateObserver;
        handlers.onUnreachable = this->unreachableObserver;
        this->client
            = std::make_unique<EngineClient>(this->executor, this->settings.engine, std::move(handlers));
        this->runner->start(this->executor);
        this->client->start();
    }

    void stop()
    {
        this->runner->stop();
        this->client->stop();
    }

    std::unique_ptr<ModelHost> makeHost(TimerService& timers, EventSink& events)
    {
        return std::make_unique<ModelHost>(this->settings.host, timers, this->random, events);
    }

    void perform(HostAction action)
    {
        if (auto* message = std::get_if<SendToEntry>(&action)) {
            this->send(message->connection, message->message);
            return;
        }
        this->client->command(std::move(std::get<SendToEngine>(action).command));
    }

    const boost::asio::any_io_executor executor;
    const EngineBackendSettings settings;
    RandomSource random;
    const SendToEntryHandler send;
    std::function<void(const EngineState&)> stateObserver;
    std::function<void()> unreachableObserver;
    std::unique_ptr<EngineClient> client;
    std::shared_ptr<HostRunner<ModelHost>> runner;
};

EngineBackend::EngineBackend(boost::asio::any_io_executor executor, EngineBackendSettings settings,
    EventSink& events, SendToEntryHandler send)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(settings), events, std::move(send)))
{
}

EngineBackend::~EngineBackend() = default;

void EngineBackend::start() { this->impl->start(); }

void EngineBackend::stop() { this->impl->stop(); }

void EngineBackend::onConnected(ConnectionId connection)
{
    this->impl->runner->step([connection](ModelHost& host) { host.onConnected(connection); });
}

void EngineBackend::onDisconnected(ConnectionId connection)
{
    this->impl->runner->step([connection](ModelHost& host) { host.onDisconnected(connection); });
}

void EngineBackend::onMessage(ConnectionId connection, const EntryMessage& message)
{
    this->impl->runner->step([&](ModelHost& host) { host.onMessage(connection, message); });
}

void EngineBackend::setVersion(ConfigVersion version)
{
    this->impl->runner->step([version](ModelHost& host) { host.setVersion(version); });
}

void EngineBackend::drain()
{
    this->impl->runner->step([](ModelHost& host) { host.drain(); });
}

bool EngineBackend::isDrained() const
{
    return this->impl->runner->inspect([](const ModelHost& host) { return host.isDrained(); });
}

void EngineBackend::drainForChange()
{
    this->impl->runner->step([](ModelHost& host) { host.drainForChange(); });
}

void EngineBackend::resume()
{
    this->impl->runner->step([](ModelHost& host) { host.resume(); });
}

ModelHostCounters EngineBackend::counters() const
{
    return this->impl->runner->inspect([](const ModelHost& host) { return host.counters(); });
}

void EngineBackend::observeState(std::function<void(const EngineState&)> observer)
{
    this->impl->stateObserver = std::move(observer);
}

void EngineBackend::observeUnreachable(std::function<void()> observer)
{
    this->impl->unreachableObserver = std::move(observer);
}

void EngineBackend::sendCommand(ConfigurationCommand command, std::function<void(CommandResult)> onResult)
{
    this->impl->client->command(std::move(command), std::move(onResult));
}

} // namespace peridotgrade
