// Runs a Reconciler beside an engine's client.
#pragma once

#include "peridotgrade/core/config/reconciler.h"
#include "peridotgrade/services/configuration_follower.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotgrade {

/// What the agent does for its reconciler. Called without a lock held, from any thread.
struct EngineReconcilerHooks {
    /// Sends the order once; the callback is called once, with the answer.
    std::function<void(const ConfigurationCommand& command, std::function<void(CommandResult)> onAnswer)>
        sendCommand;
    /// Grant nothing new until `stopDrain`; report by `onDrained`.
    std::function<void()> startDrain;
    std::function<void()> stopDrain;
};

/// Feeds a Reconciler with the configuration, with the states that the agent reads at intervals, and with
/// time. All functions are thread safe.
class EngineReconciler {
public:
    EngineReconciler(boost::asio::any_io_executor executor, AgentId agent, std::uint64_t seed,
        EngineReconcilerHooks hooks, EventSink& events);
    ~EngineReconciler();
    EngineReconciler(const EngineReconciler&) = delete;
    EngineReconciler& operator=(const EngineReconciler&) = delete;

    void start();
    void stop();

    /// To be subscribed at the ConfigurationFollower.
    void onConfiguration(const ConfigurationInForce& configuration);
    /// Each state read, changed or not. Reads must follow each other, not overlap.
    void onEngineState(const EngineState& state);
    void onEngineUnreachable();
    void onDrained();

    ReconcilerStatus status() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
