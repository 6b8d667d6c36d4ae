// The agent's client for its engine: turns commands into HTTP requests and responses into events.
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

/// Addresses and timeouts of the engine client.
struct EngineClientSettings {
    Endpoint engine;
    /// Address at which other engines fetch exported KV caches.
    Endpoint exportAddress;
    /// Where the engine fetches the weights of the models that it loads.
    Endpoint weightStore;
    std::chrono::milliseconds stateInterval { 1000 };
    /// An engine that has not reported its state for this long counts as dead.
    std::chrono::milliseconds stateTimeout { 2000 };
    /// Limit for a whole prefill, including its time in the engine's queue.
    std::chrono::milliseconds prefillTimeout { 30'000 };
    /// Longest time between two tokens of a stream.
    std::chrono::milliseconds tokenTimeout { 10'000 };
};

/// Callbacks of the client. They run on the client's strand, one at a time.
struct EngineHandlers {
    std::function<void(const EngineEvent&)> onEvent;
    /// Called with each state that was read, changed or not; the reconciler needs every one.
    std::function<void(const EngineState&)> onState;
    /// Called when the state could not be read.
    std::function<void()> onUnreachable;
    std::function<void(const CacheChanged&)> onCacheChanged;
};

/// Client for one engine. It detects that the engine died or restarted by reading its state, periodically and
/// immediately when a call fails. EngineDied is reported before any other event about the streams that were
/// lost. EngineCancelled is reported only after the engine has confirmed the cancellation and no request of
/// the stream can still arrive there. Both `command` functions and `stop` are thread safe.
class EngineClient {
public:
    EngineClient(
        boost::asio::any_io_executor executor, EngineClientSettings settings, EngineHandlers handlers);
    ~EngineClient();
    EngineClient(const EngineClient&) = delete;
    EngineClient& operator=(const EngineClient&) = delete;

    void start();
    /// Ends all calls. No handler is called afterwards, except for one that is already running.
    void stop();

    void command(EngineCommand command);

    /// Sends a command once; `onAnswer` is called on the strand. An accepted command need not have
    /// taken effect yet: the engine's state shows when it has.
    void command(ConfigurationCommand command, std::function<void(CommandResult)> onAnswer);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
