// Connects a Reconciler to an engine's client, the configuration and the clock.
#pragma once

#include "peridotgrade/core/config/reconciler.h"
#include "peridotgrade/services/configuration_follower.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotgrade {

/// Actions that the agent performs for its reconciler. Called from any thread, with no lock held.
struct EngineReconcilerHooks {
    /// Sends the command once; `onAnswer` is called once, with the result.
    std::function<void(const ConfigurationCommand& command, std::function<void(CommandResult)> onAnswer)>
        sendCommand;
    /// Grants no new reservations until `stopDrain`; `onDrained` has to be called once nothing runs any more.
    std::function<void()> startDrain;
    std::function<void()> stopDrain;
};

/// Passes a Reconciler the configuration, the states that the agent reads periodically, and the time. All
/// functions are thread safe.
class EngineReconciler {
public:
    EngineReconciler(boost::asio::any_io_executor executor, AgentId agent, std::uint64_t seed,
        EngineReconcilerHooks hooks, EventSink& events);
    ~EngineReconciler();
    EngineReconciler(const EngineReconciler&) = delete;
    EngineReconciler& operator=(const EngineReconciler&) = delete;

    void start();
    void stop();

    /// Subscriber for the ConfigurationFollower.
    void onConfiguration(const ConfigurationInForce& configuration);
    /// Must be called with each state that was read, changed or not. Reads must not overlap.
    void onEngineState(const EngineState& state);
    void onEngineUnreachable();
    void onDrained();

    ReconcilerStatus status() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
