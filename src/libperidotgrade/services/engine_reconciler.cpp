// Runs the reconciler under a lock, drives its timers and matches the agent's state reads to its requests.
#include "peridotgrade/services/engine_reconciler.h"

#include "peridotgrade/net/timer_driver.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace peridotgrade {

class EngineReconciler::Impl : public std::enable_shared_from_this<EngineReconciler::Impl> {
public:
    Impl(boost::asio::any_io_executor executor, AgentId agent, std::uint64_t seed,
        EngineReconcilerHooks hooks, EventSink& events)
        : executor(std::move(executor))
        , agent(std::move(agent))
        , hooks(std::move(hooks))
        , random(seed)
        , timers(TimerDriver::now())
        , reconciler(ReconcilerSettings {}, timers, random, events)
    {
    }

    /// Runs `change` on the reconciler under the lock, then performs the resulting actions without the lock.
    template <typename Change> void apply(Change change)
    {
        std::vector<ReconcilerAction> actions;
        {
            std::lock_guard lock(this->mutex);
            if (!this->driver)
                return;
            this->timers.advance(TimerDriver::now());
            change();
            actions = this->reconciler.takeActions();
            this->recordPendingRead(actions);
            this->driver->arm(this->timers.nextDue());
        }
        for (ReconcilerAction& action : actions)
            this->perform(action);
    }

    void start()
    {
        {
            std::lock_guard lock(this->mutex);
            std::weak_ptr<Impl> weak = this->weak_from_this();
            this->driver.emplace(this->executor, [weak] {
                if (auto self = weak.lock())
                    self->apply([] {});
            });
        }
        this->apply([this] { this->reconciler.start(); });
    }

    void stop()
    {
        std::lock_guard lock(this->mutex);
        if (this->driver)
            this->driver->stop();
        this->driver.reset();
    }

    void handleState(const EngineState& state)
    {
        if (!this->pendingRead)
            return;
        // The first state after the reconciler's request may come from a read that started before it.
        if (!this->hasSkippedState) {
            this->hasSkippedState = true;
            return;
        }
        std::uint64_t read = *std::exchange(this->pendingRead, std::nullopt);
        this->reconciler.onState(read, state);
    }

    void handleReadFailure()
    {
        if (!this->pendingRead)
            return;
        std::uint64_t read = *std::exchange(this->pendingRead, std::nullopt);
        this->reconciler.onStateFailed(read);
    }

    void handleConfiguration(const ConfigurationInForce& configuration)
    {
        if (!configuration.isReady)
            return;
        std::optional<EngineAssignment> assignment;
        Duration startIn { 0 };
        auto found = configuration.configuration.engines.find(this->agent);
        if (found != configuration.configuration.engines.end()) {
            assignment = found->second;
            startIn = std::max<Duration>(startIn, assignment->notBefore - TimerDriver::wallNow());
        }
        this->reconciler.onTarget(configuration.version, std::move(assignment), startIn, configuration.plan);
    }

    const boost::asio::any_io_executor executor;
    const AgentId agent;
    const EngineReconcilerHooks hooks;
    mutable std::mutex mutex;
    /// Everything below is guarded by `mutex`.
    RandomSource random;
    TimerService timers;
    Reconciler reconciler;
    /// Set between `start` and `stop`.
    std::optional<TimerDriver> driver;

private:
    void recordPendingRead(const std::vector<ReconcilerAction>& actions)
    {
        for (const ReconcilerAction& action : actions) {
            const auto* read = std::get_if<ReadEngineState>(&action);
            if (read == nullptr)
                continue;
            this->pendingRead = read->read;
            this->hasSkippedState = false;
        }
    }

    void perform(const ReconcilerAction& action)
    {
        if (const auto* sent = std::get_if<SendCommand>(&action)) {
            std::weak_ptr<Impl> weak = this->weak_from_this();
            this->hooks.sendCommand(sent->command, [weak](CommandResult answer) {
                if (auto self = weak.lock())
                    self->apply([&] { self->reconciler.onCommandResult(answer); });
            });
        }
        if (std::holds_alternative<StartDrain>(action))
            this->hooks.startDrain();
        if (std::holds_alternative<StopDrain>(action))
            this->hooks.stopDrain();
    }

    /// Number of the read that the reconciler is waiting for.
    std::optional<std::uint64_t> pendingRead;
    bool hasSkippedState = false;
};

EngineReconciler::EngineReconciler(boost::asio::any_io_executor executor, AgentId agent, std::uint64_t seed,
    EngineReconcilerHooks hooks, EventSink& events)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(agent), seed, std::move(hooks), events))
{
}

EngineReconciler::~EngineReconciler() { this->impl->stop(); }

void EngineReconciler::start() { this->impl->start(); }

void EngineReconciler::stop() { this->impl->stop(); }

void EngineReconciler::onConfiguration(const ConfigurationInForce& configuration)
{
    this->impl->apply([&] { this->impl->handleConfiguration(configuration); });
}

void EngineReconciler::onEngineState(const EngineState& state)
{
    this->impl->apply([&] { this->impl->handleState(state); });
}

void EngineReconciler::onEngineUnreachable()
{
    this->impl->apply([&] { this->impl->handleReadFailure(); });
}

void EngineReconciler::onDrained()
{
    this->impl->apply([&] { this->impl->reconciler.onDrained(); });
}

ReconcilerStatus EngineReconciler::status() const
{
    std::lock_guard lock(this->impl->mutex);
    return this->impl->reconciler.status();
}

} // namespace peridotgrade
