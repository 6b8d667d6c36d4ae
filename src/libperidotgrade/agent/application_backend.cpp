// Connects an ActionHost with an ApplicationClient.
#include "peridotgrade/agent/application_backend.h"

#include "peridotgrade/agent/host_runner.h"
#include "peridotgrade/services/application_client.h"

namespace peridotgrade {

class ApplicationBackend::Impl : public std::enable_shared_from_this<ApplicationBackend::Impl> {
public:
    Impl(boost::asio::any_io_executor executor, ActionHostSettings settings, Endpoint server,
        EventSink& events, SendToEntryHandler send)
        : executor(std::move(executor))
        , settings(std::move(settings))
        , server(std::move(server))
        , send(std::move(send))
        , runner(std::make_shared<HostRunner<ActionHost>>(
              [this, &events](TimerService& timers) {
                  return std::make_unique<ActionHost>(this->settings, timers, events);
              },
              [this](ActionHostAction action) { this->perform(std::move(action)); }))
    {
    }

    void start()
    {
        std::weak_ptr<Impl> weak = this->weak_from_this();
        auto onEnded
            = [weak](ApplicationCallId number, ApplicationCallResult result, ApplicationAnswer answer) {
                  if (auto self = weak.lock())
                      self->onEnded(number, result, std::move(answer));
              };
        this->client = std::make_unique<ApplicationClient>(this->executor, this->server, std::move(onEnded));
        this->runner->start(this->executor);
    }

    void perform(ActionHostAction action)
    {
        if (auto* message = std::get_if<SendToEntry>(&action)) {
            this->send(message->connection, message->message);
            return;
        }
        this->client->call(std::move(std::get<CallApplication>(action)));
    }

    void onEnded(ApplicationCallId number, ApplicationCallResult result, ApplicationAnswer answer)
    {
        this->runner->step([&](ActionHost& host) { host.onCallEnded(number, result, std::move(answer)); });
    }

    const boost::asio::any_io_executor executor;
    const ActionHostSettings settings;
    const Endpoint server;
    const SendToEntryHandler send;
    std::unique_ptr<ApplicationClient> client;
    std::shared_ptr<HostRunner<ActionHost>> runner;
};

ApplicationBackend::ApplicationBackend(boost::asio::any_io_executor executor, ActionHostSettings settings,
    Endpoint server, EventSink& events, SendToEntryHandler send)
    : impl(std::make_shared<Impl>(
        std::move(executor), std::move(settings), std::move(server), events, std::move(send)))
{
}

ApplicationBackend::~ApplicationBackend() = default;

void ApplicationBackend::start() { this->impl->start(); }

void ApplicationBackend::stop() { this->impl->runner->stop(); }

void ApplicationBackend::onConnected(ConnectionId connection)
{
    this->impl->runner->step([connection](ActionHost& host) { host.onConnected(connection); });
}

void ApplicationBackend::onDisconnected(ConnectionId connection)
{
    this->impl->runner->step([connection](ActionHost& host) { host.onDisconnected(connection); });
}

void ApplicationBackend::onMessage(ConnectionId connection, const EntryMessage& message)
{
    this->impl->runner->step([&](ActionHost& host) { host.onMessage(connection, message); });
}

void ApplicationBackend::setVersion(ConfigVersion) { }

void ApplicationBackend::drain()
{
    this->impl->runner->step([](ActionHost& host) { host.drain(); });
}

bool ApplicationBackend::isDrained() const
{
    return this->impl->runner->inspect([](const ActionHost& host) { return host.isDrained(); });
}

} // namespace peridotgrade
