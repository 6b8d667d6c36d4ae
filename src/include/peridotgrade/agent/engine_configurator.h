// Changes of an agent's engine as the configuration assigns them.
#pragma once

#include "peridotgrade/agent/engine_backend.h"
#include "peridotgrade/services/engine_reconciler.h"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <cstdint>

namespace peridotgrade {

/// Joins an engine's backend with its reconciler: states and silence go in, orders and pauses come out.
/// Thread safe.
class EngineConfigurator {
public:
    /// `engine` must outlive this object and must not have been started.
    EngineConfigurator(boost::asio::any_io_executor executor, EngineBackend& engine, AgentId agent,
        std::uint64_t seed, EventSink& events);

    void start();
    void stop();
    void onConfiguration(const ConfigurationInForce& configuration);
    ReconcilerStatus status() const;

private:
    EngineReconcilerHooks hooks();
    void onState(const EngineState& state);

    EngineBackend& engine;
    std::atomic<bool> isPaused = false;
    EngineReconciler reconciler;
};

} // namespace peridotgrade
