// Backend of an agent beside an engine.
#pragma once

#include "peridotgrade/agent/backend.h"
#include "peridotgrade/core/hosting/model_host.h"
#include "peridotgrade/services/engine_client.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace peridotgrade {

struct EngineBackendSettings {
    ModelHostSettings host;
    EngineClientSettings engine;
    std::uint64_t seed = 0;
};

/// Runs a ModelHost together with the client of its engine.
class EngineBackend final : public Backend {
public:
    EngineBackend(boost::asio::any_io_executor executor, EngineBackendSettings settings, EventSink& events,
        SendToEntryHandler send);
    ~EngineBackend() override;

    void start() override;
    void stop() override;
    void onConnected(ConnectionId connection) override;
    void onDisconnected(ConnectionId connection) override;
    void onMessage(ConnectionId connection, const EntryMessage& message) override;
    void setVersion(ConfigVersion version) override;
    void drain() override;
    bool isDrained() const override;

    /// Grants no new reservations while the engine's role or models change.
    void drainForChange();
    void resume();

    ModelHostCounters counters() const;

    /// `observer` is called with each state that is read from the engine. Must be set before `start`.
    void observeState(std::function<void(const EngineState&)> observer);
    /// `observer` is called when the state could not be read. Must be set before `start`.
    void observeUnreachable(std::function<void()> observer);
    /// Sends a configuration command to the engine; `onResult` is called with the result.
    void sendCommand(ConfigurationCommand command, std::function<void(CommandResult)> onResult);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
