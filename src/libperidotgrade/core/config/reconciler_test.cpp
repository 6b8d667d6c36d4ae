// Tests of the reconciler: start delay, draining, failures, lost answers and commands of other clients.
#include "peridotgrade/core/config/reconciler.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

/// A reconciler with an engine that executes commands immediately unless `executesCommands` is false.
struct ReconcilerFixture {
    ReconcilerFixture()
        : reconciler(ReconcilerSettings {}, timers, random, events)
    {
        this->engine.incarnation = Incarnation { 1 };
        this->engine.role = EngineRole::Mixed;
        this->reconciler.start();
    }

    static EngineAssignment assignmentOf(const std::string& version, EngineRole role = EngineRole::Mixed)
    {
        EngineAssignment assignment;
        assignment.agent = AgentId { "e" };
        assignment.model = ModelId { "m" };
        assignment.modelVersion = version;
        assignment.role = role;
        return assignment;
    }

    void execute(const ConfigurationCommand& command)
    {
        if (command.kind == ConfigurationCommandKind::ChangeRole)
            this->engine.role = command.role;
        if (command.kind == ConfigurationCommandKind::ChangeRole)
            return;
        std::erase_if(
            this->engine.models, [&](const LoadedModel& each) { return each.model == command.model; });
        if (command.kind == ConfigurationCommandKind::Load)
            this->engine.models.push_back({ command.model, command.modelVersion, {} });
    }

    /// Handles actions for `time` in steps of the state interval.
    void run(Duration time)
    {
        for (Duration done { 0 }; done <= time; done += 1s) {
            this->timers.advance(TimePoint { this->now });
            this->handleActions();
            this->now += 1s;
        }
    }

    void handleActions()
    {
        for (auto actions = this->reconciler.takeActions(); !actions.empty();
             actions = this->reconciler.takeActions()) {
            for (const ReconcilerAction& action : actions)
                this->handleAction(action);
        }
    }

    void handleAction(const ReconcilerAction& action)
    {
        if (const auto* read = std::get_if<ReadEngineState>(&action))
            this->reconciler.onState(read->read, this->engine);
        if (std::holds_alternative<StartDrain>(action))
            this->isDraining = true;
        if (std::holds_alternative<StopDrain>(action))
            this->isDraining = false;
        const auto* sent = std::get_if<SendCommand>(&action);
        if (sent == nullptr)
            return;
        this->commands.push_back(sent->command);
        if (this->executesCommands)
            this->execute(sent->command);
        this->reconciler.onCommandResult(this->answer);
    }

    Duration now { 0 };
    TimerService timers;
    RandomSource random { 1 };
    NullEventSink events;
    Reconciler reconciler;
    EngineState engine;
    std::vector<ConfigurationCommand> commands;
    CommandResult answer = CommandResult::Accepted;
    bool executesCommands = true;
    bool isDraining = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(reconciler, ReconcilerFixture)

BOOST_AUTO_TEST_CASE(an_empty_engine_is_loaded_without_a_drain_at_its_start_time)
{
    this->reconciler.onTarget(ConfigVersion { 3 }, assignmentOf("v1"), 5s);
    this->run(3s);
    BOOST_TEST(this->commands.empty());
    BOOST_TEST(this->reconciler.status().waitingFor == "its turn in the plan");
    this->run(5s);
    BOOST_REQUIRE(this->commands.size() == 1u);
    BOOST_TEST((this->commands[0].fence == ConfigVersion { 3 }));
    BOOST_TEST(this->reconciler.status().isInForce);
    BOOST_TEST(!this->isDraining);
}

BOOST_AUTO_TEST_CASE(without_a_known_configuration_or_assignment_the_engine_is_left_alone)
{
    this->engine.models.push_back({ ModelId { "m" }, "v1", {} });
    this->run(5s);
    BOOST_TEST(!this->reconciler.status().isInForce);
    this->reconciler.onTarget(ConfigVersion { 3 }, std::nullopt, 0s);
    this->run(5s);
    BOOST_TEST(this->commands.empty());
}

BOOST_AUTO_TEST_CASE(version_and_role_change_only_once_drained)
{
    this->engine.models.push_back({ ModelId { "m" }, "v1", {} });
    this->reconciler.onTarget(ConfigVersion { 3 }, assignmentOf("v2", EngineRole::Decode), 0s);
    this->run(5s);
    BOOST_TEST(this->commands.empty());
    BOOST_TEST(this->isDraining);
    this->reconciler.onDrained();
    this->run(5s);
    BOOST_TEST(this->commands.size() == 2u);
    BOOST_TEST(this->reconciler.status().isInForce);
    BOOST_TEST(!this->isDraining);
}

BOOST_AUTO_TEST_CASE(a_failing_load_is_retried_with_backoff_and_reported)
{
    this->executesCommands = false;
    this->reconciler.onTarget(ConfigVersion { 3 }, assignmentOf("v1"), 0s);
    this->run(100s);
    BOOST_TEST(this->commands.size() > 3u);
    BOOST_TEST(this->commands.size() < 15u);
    BOOST_TEST(this->reconciler.status().failures > 3u);
    BOOST_TEST(!this->reconciler.status().waitingFor.empty());
    this->executesCommands = true;
    this->run(70s);
    BOOST_TEST(this->reconciler.status().isInForce);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_resolved_by_reading_the_state_not_by_a_second_command)
{
    this->answer = CommandResult::AnswerLost;
    this->executesCommands = false;
    this->reconciler.onTarget(ConfigVersion { 3 }, assignmentOf("v1"), 0s);
    this->run(2s);
    BOOST_REQUIRE(this->commands.size() == 1u);
    this->execute(this->commands[0]);
    this->run(3s);
    BOOST_TEST(this->commands.size() == 1u);
    BOOST_TEST(this->reconciler.status().isInForce);
}

BOOST_AUTO_TEST_CASE(a_restarted_engine_gets_the_command_in_flight_again_at_once)
{
    this->answer = CommandResult::AnswerLost;
    this->executesCommands = false;
    this->reconciler.onTarget(ConfigVersion { 3 }, assignmentOf("v1"), 0s);
    this->run(2s);
    BOOST_REQUIRE(this->commands.size() == 1u);
    this->engine.incarnation = Incarnation { 2 };
    this->answer = CommandResult::Accepted;
    this->executesCommands = true;
    this->run(1s);
    BOOST_TEST(this->commands.size() == 2u);
    BOOST_TEST(this->reconciler.status().failures == 0u);
}

BOOST_AUTO_TEST_CASE(a_command_of_another_client_is_detected_and_reverted)
{
    this->reconciler.onTarget(ConfigVersion { 3 }, assignmentOf("v1"), 0s);
    this->run(3s);
    this->engine.models = { { ModelId { "m" }, "v0", {} }, { ModelId { "other" }, "v9", {} } };
    this->run(2s);
    BOOST_TEST(this->isDraining);
    this->reconciler.onDrained();
    this->run(6s);
    BOOST_REQUIRE(this->engine.models.size() == 1u);
    BOOST_TEST(this->engine.models[0].version == "v1");
    BOOST_TEST(this->reconciler.status().undone == 1u);
    BOOST_TEST(this->reconciler.status().isInForce);
}

BOOST_AUTO_TEST_CASE(a_state_requested_before_the_answer_does_not_fail_the_command)
{
    this->run(0s);
    EngineState before = this->engine;
    this->reconciler.onTarget(ConfigVersion { 3 }, assignmentOf("v1"), 0s);
    auto sent = this->reconciler.takeActions();
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_REQUIRE(std::holds_alternative<SendCommand>(sent[0]));
    this->timers.advance(TimePoint { 1s });
    auto reading = this->reconciler.takeActions();
    BOOST_REQUIRE(reading.size() == 1u);
    this->execute(std::get<SendCommand>(sent[0]).command);
    this->reconciler.onCommandResult(CommandResult::Accepted);
    this->reconciler.onState(std::get<ReadEngineState>(reading[0]).read, before);
    BOOST_TEST(this->reconciler.status().failures == 0u);
    this->now = 2s;
    this->run(2s);
    BOOST_TEST(this->commands.empty());
    BOOST_TEST(this->reconciler.status().isInForce);
}

BOOST_AUTO_TEST_CASE(a_higher_fencing_token_in_the_engine_fails_the_command)
{
    this->engine.fence = 99;
    this->answer = CommandResult::StaleFence;
    this->executesCommands = false;
    this->reconciler.onTarget(ConfigVersion { 3 }, assignmentOf("v1"), 0s);
    this->run(3s);
    BOOST_TEST(!this->reconciler.status().isInForce);
    BOOST_TEST(this->reconciler.status().failures > 0u);
    this->answer = CommandResult::Accepted;
    this->executesCommands = true;
    this->reconciler.onTarget(ConfigVersion { 100 }, assignmentOf("v2"), 0s);
    this->run(3s);
    BOOST_TEST(this->reconciler.status().isInForce);
}

BOOST_AUTO_TEST_CASE(a_lower_version_is_ignored)
{
    this->reconciler.onTarget(ConfigVersion { 5 }, assignmentOf("v2"), 0s);
    this->reconciler.onTarget(ConfigVersion { 4 }, assignmentOf("v1"), 0s);
    this->run(3s);
    BOOST_TEST(this->engine.models.at(0).version == "v2");
}

BOOST_AUTO_TEST_SUITE_END()
