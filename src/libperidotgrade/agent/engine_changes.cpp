// Implementation of the engine's changes.
#include "peridotgrade/agent/engine_changes.h"

#include <utility>

namespace peridotgrade {

EngineChanges::EngineChanges(boost::asio::any_io_executor executor, EngineBackend& engine, AgentId agent,
    std::uint64_t seed, EventSink& events)
    : engine(engine)
    , reconciler(std::move(executor), std::move(agent), seed, this->hooks(), events)
{
    engine.observeState([this](const EngineState& state) { this->onState(state); });
    engine.observeSilence([this] { this->reconciler.onEngineUnreachable(); });
}

EngineReconcilerHooks EngineChanges::hooks()
{
    EngineReconcilerHooks result;
    result.sendCommand
        = [this](const ConfigurationCommand& command, std::function<void(CommandResult)> onAnswer) {
              this->engine.command(command, std::move(onAnswer));
          };
    result.startDrain = [this] {
        this->engine.drainForChange();
        this->isPaused = true;
    };
    result.stopDrain = [this] {
        this->isPaused = false;
        this->engine.resume();
    };
    return result;
}

void EngineChanges::onState(const EngineState& state)
{
    // Each state read is a moment to look whether the last request has ended.
    if (this->isPaused && this->engine.isDrained())
        this->reconciler.onDrained();
    this->reconciler.onEngineState(state);
}

void EngineChanges::start() { this->reconciler.start(); }

void EngineChanges::stop() { this->reconciler.stop(); }

void EngineChanges::onConfiguration(const ConfigurationInForce& configuration)
{
    this->reconciler.onConfiguration(configuration);
}

ReconcilerStatus EngineChanges::status() const { return this->reconciler.status(); }

} // namespace peridotgrade
