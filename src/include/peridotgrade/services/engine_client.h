// The agent's client of its engine: commands become HTTP calls, answers become events.
#pragma once

#include "peridotgrade/core/config/configuration_command.h"
#include "peridotgrade/core/config/engine_state.h"
#include "peridotgrade/core/hosting/engine_command.h"
#include "peridotgrade/core/hosting/engine_event.h"
#include "peridotgrade/core/messages/stream_messages.h"
#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/services/engine_error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace peridotgrade {

/// Where the engine is and how long is waited for it.
struct EngineClientSettings {
    Endpoint engine;
    /// Address at which other engines fetch exported KV caches.
    Endpoint exportAddress;
    /// Where the engine fetches the weights of models that it is to load.
    Endpoint weightStore;
    std::chrono::milliseconds stateInterval { 1000 };
    /// An engine that has not told its state for this long counts as dead.
    std::chrono::milliseconds stateTimeout { 2000 };
    /// For a whole prefill, its time in the engine's queue included.
    std::chrono::milliseconds prefillTimeout { 30'000 };
    /// Between two tokens of a stream.
    std::chrono::milliseconds tokenTimeout { 10'000 };
};

/// Whom the client tells. Called on the client's strand, one at a time.
struct EngineHandlers {
    std::function<void(const EngineEvent&)> onEvent;
    /// Each state read, changed or not, for whoever reconciles the engine with the configuration.
    std::function<void(const EngineState&)> onState;
    /// The state could not be read.
    std::function<void()> onUnreachable;
    std::function<void(const CacheChanged&)> onCacheChanged;
};

/// Talks to one engine. It notices the engine's death and restart by reading its state, at intervals and at
/// once when a call fails; EngineDied comes before anything else is told of the streams that were lost.
/// EngineCancelled is told only after the engine has confirmed it and no call of the stream can still arrive
/// there. `command`, `command` and `stop` are thread safe.
class EngineClient {
public:
    EngineClient(
        boost::asio::any_io_executor executor, EngineClientSettings settings, EngineHandlers handlers);
    ~EngineClient();
    EngineClient(const EngineClient&) = delete;
    EngineClient& operator=(const EngineClient&) = delete;

    void start();
    /// Ends all calls; no handler is called afterwards, but for one in progress.
    void stop();

    void command(EngineCommand command);

    /// Sends an order once; `onAnswer` is called on the strand. Taken is not done: the state tells.
    void command(ConfigurationCommand command, std::function<void(CommandResult)> onAnswer);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
