// State of the engine client; all of it is used on one strand only.
#pragma once

#include "engine_call.h"
#include "engine_protocol.h"

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/net/http_client.h"
#include "peridotgrade/services/engine_client.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <map>

namespace peridotgrade {

class EngineClient::Impl : public std::enable_shared_from_this<EngineClient::Impl> {
public:
    Impl(boost::asio::any_io_executor executor, EngineClientSettings settings, EngineHandlers handlers);

    void start();
    void stop();
    void command(EngineCommand command);
    void command(ConfigurationCommand command, std::function<void(CommandResult)> onAnswer);

private:
    using Self = std::shared_ptr<Impl>;
    template <typename Value> using Awaitable = boost::asio::awaitable<Value>;

    // State of the engine process.
    Awaitable<void> watchState(Self self);
    Awaitable<void> watchCache(Self self);
    Awaitable<void> checkState();
    void onState(const EngineState& state);
    void onStateReadFailed(const NetError& error);
    void declareDead();

    // Prefills, decodes, cancellations and listings.
    void handle(EnginePrefill command);
    void handle(EngineDecode command);
    void handle(const EngineCancel& command);
    void handle(const EngineList& command);
    EngineCallPointer addCall(const EngineStreamId& stream);
    void removeCall(const EngineCallPointer& call);
    Awaitable<void> runPrefill(Self self, EnginePrefill command, EngineCallPointer call);
    Awaitable<void> runDecode(Self self, EngineDecode command, EngineCallPointer call);
    /// Returns nothing if the stream ended normally or the call is lost.
    Awaitable<std::optional<EngineError>> readTokens(HttpStream& body, const EngineCallPointer& call);
    /// Emits the tokens of one part of the body; returns true at the end of the stream.
    std::variant<bool, EngineError> emitTokens(
        const std::vector<StreamEvent>& events, const EngineCallPointer& call);
    Awaitable<void> failCall(EngineCallPointer call, EngineError error);
    /// Cancels the stream at the engine; returns true if the engine has confirmed it.
    Awaitable<bool> freeAtEngine(EngineStreamId stream);
    Awaitable<void> cancel(Self self, EngineStreamId stream);
    Awaitable<void> list(Self self);
    Awaitable<void> sendCommand(
        Self self, ConfigurationCommand command, std::function<void(CommandResult)> onAnswer);

    void emit(EngineEvent event);
    Awaitable<void> pause(std::chrono::milliseconds duration);

    boost::asio::strand<boost::asio::any_io_executor> strand;
    const EngineClientSettings settings;
    const EngineHandlers handlers;
    HttpClient http;
    bool isStopped = false;
    bool isUp = false;
    /// Number of engine deaths detected; a change during a call shows that its response comes from an
    /// earlier incarnation.
    std::uint64_t deathCount = 0;
    EngineState lastState;
    TimePoint lastAnswerAt;
    std::uint64_t nextCacheEvent = 0;
    /// Invariant: contains no lost call.
    std::map<EngineStreamId, EngineCallPointer> calls;
};

} // namespace peridotgrade
