// Applies the role and models that the configuration assigns to an agent's engine.
#pragma once

#include "peridotgrade/agent/engine_backend.h"
#include "peridotgrade/services/engine_reconciler.h"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <cstdint>

namespace peridotgrade {

/// Connects an engine's backend with its reconciler: passes states and failed reads to the reconciler, and
/// its commands and drains to the backend. Thread safe.
class EngineConfigurator {
public:
    /// `engine` must outlive this object and must not be started yet.
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
    std::atomic<bool> isDrainStarted = false;
    EngineReconciler reconciler;
};

} // namespace peridotgrade
