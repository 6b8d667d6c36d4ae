// Callbacks between an engine's backend and its reconciler.
#include "peridotgrade/agent/engine_configurator.h"

#include <utility>

namespace peridotgrade {

EngineConfigurator::EngineConfigurator(boost::asio::any_io_executor executor, EngineBackend& engine,
    AgentId agent, std::uint64_t seed, EventSink& events)
    : engine(engine)
    , reconciler(std::move(executor), std::move(agent), seed, this->hooks(), events)
{
    engine.observeState([this](const EngineState& state) { this->onState(state); });
    engine.observeUnreachable([this] { this->reconciler.onEngineUnreachable(); });
}

EngineReconcilerHooks EngineConfigurator::hooks()
{
    EngineReconcilerHooks result;
    result.sendCommand
        = [this](const ConfigurationCommand& command, std::function<void(CommandResult)> onResult) {
              this->engine.sendCommand(command, std::move(onResult));
          };
    result.startDrain = [this] {
        this->engine.drainForChange();
        this->isDrainStarted = true;
    };
    result.stopDrain = [this] {
        this->isDrainStarted = false;
        this->engine.resume();
    };
    return result;
}

void EngineConfigurator::onState(const EngineState& state)
{
    // The end of a drain is not signalled, so it is checked with each state that is read.
    if (this->isDrainStarted && this->engine.isDrained())
        this->reconciler.onDrained();
    this->reconciler.onEngineState(state);
}

void EngineConfigurator::start() { this->reconciler.start(); }

void EngineConfigurator::stop() { this->reconciler.stop(); }

void EngineConfigurator::onConfiguration(const ConfigurationInForce& configuration)
{
    this->reconciler.onConfiguration(configuration);
}

ReconcilerStatus EngineConfigurator::status() const { return this->reconciler.status(); }

} // namespace peridotgrade
