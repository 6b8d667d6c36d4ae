// An agent with its engine, for randomised runs of configuration changes.
#pragma once

#include "peridotgrade/core/config/reconciler.h"
#include "random_run_log.h"

#include <algorithm>
#include <memory>
#include <string>

namespace peridotgrade::test {

/// An engine that loses answers, receives commands late, fails loads, restarts, and executes commands of
/// other clients.
class RandomRunEngine {
public:
    RandomRunEngine(
        AgentId agent, bool checksFence, TimerService& timers, RandomSource& random, RandomRunLog& log)
        : agent(std::move(agent))
        , timers(timers)
        , random(random)
        , log(log)
    {
        this->state.checksFence = checksFence;
        this->restartAgent();
    }

    /// Starts a new agent process beside the same engine; commands of the former one may still arrive.
    void restartAgent()
    {
        ++this->agentIncarnation;
        this->reconciler = std::make_unique<Reconciler>(ReconcilerSettings {}, timers, random, events);
        this->isDraining = false;
        this->reconciler->start();
    }

    void restartEngine()
    {
        this->state.incarnation = Incarnation { this->state.incarnation.raw() + 1 };
        this->state.loading.clear();
        this->state.models.clear();
        this->state.fence = 0;
    }

    void executeForeignCommand()
    {
        ConfigurationCommand command;
        command.kind = this->random.below(2) == 0 ? ConfigurationCommandKind::Load
                                                  : ConfigurationCommandKind::ChangeRole;
        command.model = ModelId { "foreign" };
        command.modelVersion = "v0";
        command.role = EngineRole::Prefill;
        this->execute(command);
    }

    void applyConfiguration(const ConfigurationReplica& replica)
    {
        if (!replica.isReady())
            return;
        std::optional<EngineAssignment> assignment;
        Duration startIn { 0 };
        auto found = replica.configuration().engines.find(this->agent);
        if (found != replica.configuration().engines.end()) {
            assignment = found->second;
            startIn = std::max<Duration>(startIn, assignment->notBefore - this->log.wallNow());
        }
        this->reconciler->onTarget(replica.version(), std::move(assignment), startIn);
    }

    void handleActions()
    {
        for (auto actions = this->reconciler->takeActions(); !actions.empty();
             actions = this->reconciler->takeActions()) {
            for (const ReconcilerAction& action : actions)
                this->handleAction(action);
        }
    }

    /// True if the engine's state is exactly what the reference configuration assigns.
    bool matchesAssignment() const
    {
        auto found = this->log.reference.configuration().engines.find(this->agent);
        if (found == this->log.reference.configuration().engines.end())
            return true;
        const EngineAssignment& assignment = found->second;
        return this->state.role == assignment.role && this->state.models.size() == 1
            && this->state.models[0].model == assignment.model
            && this->state.models[0].version == assignment.modelVersion;
    }

    const AgentId agent;
    EngineState state;
    std::unique_ptr<Reconciler> reconciler;
    bool areFaultsOn = true;

private:
    /// Runs `callback` after a random delay if the agent process is still the same.
    template <typename Callback> void later(std::uint64_t maxMilliseconds, Callback callback)
    {
        this->timers.subscribeAfter(std::chrono::milliseconds { this->random.below(maxMilliseconds + 1) },
            [this, incarnation = this->agentIncarnation, callback] {
                if (incarnation == this->agentIncarnation)
                    callback();
            });
    }

    bool happens(std::uint64_t oneIn) { return this->areFaultsOn && this->random.below(oneIn) == 0; }

    void handleAction(const ReconcilerAction& action)
    {
        if (const auto* read = std::get_if<ReadEngineState>(&action))
            this->readState(read->read);
        if (const auto* sent = std::get_if<SendCommand>(&action))
            this->receiveCommand(sent->command);
        if (std::holds_alternative<StopDrain>(action))
            this->isDraining = false;
        if (std::holds_alternative<StartDrain>(action)) {
            this->isDraining = true;
            this->later(3'000, [this] {
                if (this->isDraining)
                    this->reconciler->onDrained();
            });
        }
    }

    /// Reads the present state and delivers it after a random delay.
    void readState(std::uint64_t read)
    {
        if (this->happens(20)) {
            this->later(500, [this, read] { this->reconciler->onStateFailed(read); });
            return;
        }
        this->later(500, [this, read, seen = this->state] { this->reconciler->onState(read, seen); });
    }

    void receiveCommand(const ConfigurationCommand& command)
    {
        this->checkConfirmed(command);
        if (this->happens(6)) {
            bool arrives = this->random.below(2) == 0;
            // The delay may exceed the grace period for lost commands, and the agent that sent the command
            // may be restarted meanwhile.
            auto delay = std::chrono::milliseconds { this->random.below(15'000) };
            if (arrives)
                this->timers.subscribeAfter(delay, [this, command] { this->execute(command); });
            this->later(2'000, [this] { this->reconciler->onCommandResult(CommandResult::AnswerLost); });
            return;
        }
        CommandResult answer = this->execute(command);
        this->later(300, [this, answer] { this->reconciler->onCommandResult(answer); });
    }

    /// Checks that the command follows the configuration of a confirmed version.
    void checkConfirmed(const ConfigurationCommand& command) const
    {
        auto found = this->log.versions.find(command.fence);
        BOOST_REQUIRE_MESSAGE(found != this->log.versions.end(),
            "the fencing token of a command is not the version of a confirmed plan");
        auto engine = found->second.engines.find(this->agent);
        BOOST_REQUIRE_MESSAGE(
            engine != found->second.engines.end(), "a command was sent to an engine without assignment");
        bool isOfPlan = command.kind == ConfigurationCommandKind::Unload
            || (command.kind == ConfigurationCommandKind::ChangeRole && command.role == engine->second.role)
            || (command.kind == ConfigurationCommandKind::Load && command.model == engine->second.model
                && command.modelVersion == engine->second.modelVersion);
        BOOST_REQUIRE_MESSAGE(isOfPlan, "a command does not follow the configuration at its version");
    }

    CommandResult execute(const ConfigurationCommand& command)
    {
        if (this->state.checksFence && command.fence.raw() < this->state.fence)
            return CommandResult::StaleFence;
        this->state.fence = std::max(this->state.fence, command.fence.raw());
        if (command.kind == ConfigurationCommandKind::ChangeRole)
            this->state.role = command.role;
        if (command.kind == ConfigurationCommandKind::Unload)
            std::erase_if(
                this->state.models, [&](const LoadedModel& each) { return each.model == command.model; });
        if (command.kind == ConfigurationCommandKind::Load)
            this->load(command);
        return CommandResult::Accepted;
    }

    void load(const ConfigurationCommand& command)
    {
        this->state.loading.push_back(command.model);
        bool fails = this->happens(5);
        this->timers.subscribeAfter(std::chrono::milliseconds { 1'000 + this->random.below(4'000) },
            [this, command, fails, incarnation = this->state.incarnation] {
                if (incarnation != this->state.incarnation)
                    return;
                auto entry = std::find(this->state.loading.begin(), this->state.loading.end(), command.model);
                this->state.loading.erase(entry);
                if (fails)
                    return;
                std::erase_if(
                    this->state.models, [&](const LoadedModel& each) { return each.model == command.model; });
                this->state.models.push_back({ command.model, command.modelVersion, {} });
            });
    }

    TimerService& timers;
    RandomSource& random;
    RandomRunLog& log;
    NullEventSink events;
    std::uint64_t agentIncarnation = 0;
    bool isDraining = false;
};

} // namespace peridotgrade::test
