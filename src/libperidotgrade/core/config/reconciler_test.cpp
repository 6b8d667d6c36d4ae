// Tests of the reconciler: start delay, draining, failures, lost answers and commands of other clients.
#include "peridotgrade/core/config/reconciler.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

/// A reconciler with an engine that executes commands immediately unless `obeys` is false.
struct ReconcilerFixture {
    ReconcilerFixture()
        : reconciler(ReconcilerSettings {}, timers, random, events)
    {
        this->engine.incarnation = Incarnation { 1 };
        this->engine.role = EngineRole::Mixed;
        this->reconciler.start();
    }

    static EngineAssignment wish(const std::string& version, EngineRole role = EngineRole::Mixed)
    {
        EngineAssignment assignment;
        assignment.agent = AgentId { "e" };
        assignment.model = ModelId { "m" };
        assignment.modelVersion = version;
        assignment.role = role;
        return assignment;
    }

    void obey(const AssignedOrder& order)
    {
        if (order.kind == AssignedOrderKind::ChangeRole)
            this->engine.role = order.role;
        if (order.kind == AssignedOrderKind::ChangeRole)
            return;
        std::erase_if(
            this->engine.models, [&](const LoadedModel& each) { return each.model == order.model; });
        if (order.kind == AssignedOrderKind::Load)
            this->engine.models.push_back({ order.model, order.modelVersion, {} });
    }

    /// Handles actions for `time` in steps of the state interval.
    void run(Duration time)
    {
        for (Duration done { 0 }; done <= time; done += 1s) {
            this->timers.advance(TimePoint { this->now });
            this->serve();
            this->now += 1s;
        }
    }

    void serve()
    {
        for (auto actions = this->reconciler.takeActions(); !actions.empty();
             actions = this->reconciler.takeActions()) {
            for (const ReconcilerAction& action : actions)
                this->serveOne(action);
        }
    }

    void serveOne(const ReconcilerAction& action)
    {
        if (const auto* read = std::get_if<ReadEngineState>(&action))
            this->reconciler.onState(read->read, this->engine);
        if (std::holds_alternative<StartDrain>(action))
            this->isDraining = true;
        if (std::holds_alternative<StopDrain>(action))
            this->isDraining = false;
        const auto* sent = std::get_if<SendOrder>(&action);
        if (sent == nullptr)
            return;
        this->orders.push_back(sent->order);
        if (this->obeys)
            this->obey(sent->order);
        this->reconciler.onOrderAnswer(this->answer);
    }

    Duration now { 0 };
    TimerService timers;
    RandomSource random { 1 };
    NullEventSink events;
    Reconciler reconciler;
    EngineState engine;
    std::vector<AssignedOrder> orders;
    OrderAnswer answer = OrderAnswer::Taken;
    bool obeys = true;
    bool isDraining = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(reconciler, ReconcilerFixture)

BOOST_AUTO_TEST_CASE(an_empty_engine_is_loaded_without_a_drain_at_its_turn)
{
    this->reconciler.onTarget(ConfigVersion { 3 }, wish("v1"), 5s);
    this->run(3s);
    BOOST_TEST(this->orders.empty());
    BOOST_TEST(this->reconciler.status().waitingFor == "its start time in the plan");
    this->run(5s);
    BOOST_REQUIRE(this->orders.size() == 1u);
    BOOST_TEST((this->orders[0].fence == ConfigVersion { 3 }));
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
    BOOST_TEST(this->orders.empty());
}

BOOST_AUTO_TEST_CASE(version_and_role_change_only_once_drained)
{
    this->engine.models.push_back({ ModelId { "m" }, "v1", {} });
    this->reconciler.onTarget(ConfigVersion { 3 }, wish("v2", EngineRole::Decode), 0s);
    this->run(5s);
    BOOST_TEST(this->orders.empty());
    BOOST_TEST(this->isDraining);
    this->reconciler.onDrained();
    this->run(5s);
    BOOST_TEST(this->orders.size() == 2u);
    BOOST_TEST(this->reconciler.status().isInForce);
    BOOST_TEST(!this->isDraining);
}

BOOST_AUTO_TEST_CASE(a_failing_load_is_tried_again_with_backoff_and_shown)
{
    this->obeys = false;
    this->reconciler.onTarget(ConfigVersion { 3 }, wish("v1"), 0s);
    this->run(100s);
    BOOST_TEST(this->orders.size() > 3u);
    BOOST_TEST(this->orders.size() < 15u);
    BOOST_TEST(this->reconciler.status().failures > 3u);
    BOOST_TEST(!this->reconciler.status().waitingFor.empty());
    this->obeys = true;
    this->run(70s);
    BOOST_TEST(this->reconciler.status().isInForce);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_by_reading_not_by_ordering_again)
{
    this->answer = OrderAnswer::Lost;
    this->obeys = false;
    this->reconciler.onTarget(ConfigVersion { 3 }, wish("v1"), 0s);
    this->run(2s);
    BOOST_REQUIRE(this->orders.size() == 1u);
    this->obey(this->orders[0]);
    this->run(3s);
    BOOST_TEST(this->orders.size() == 1u);
    BOOST_TEST(this->reconciler.status().isInForce);
}

BOOST_AUTO_TEST_CASE(an_engine_that_restarts_gets_the_order_in_flight_again_at_once)
{
    this->answer = OrderAnswer::Lost;
    this->obeys = false;
    this->reconciler.onTarget(ConfigVersion { 3 }, wish("v1"), 0s);
    this->run(2s);
    BOOST_REQUIRE(this->orders.size() == 1u);
    this->engine.incarnation = Incarnation { 2 };
    this->answer = OrderAnswer::Taken;
    this->obeys = true;
    this->run(1s);
    BOOST_TEST(this->orders.size() == 2u);
    BOOST_TEST(this->reconciler.status().failures == 0u);
}

BOOST_AUTO_TEST_CASE(a_strangers_order_is_seen_and_undone)
{
    this->reconciler.onTarget(ConfigVersion { 3 }, wish("v1"), 0s);
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

BOOST_AUTO_TEST_CASE(a_state_read_before_the_answer_says_nothing_of_the_order)
{
    this->run(0s);
    EngineState before = this->engine;
    this->reconciler.onTarget(ConfigVersion { 3 }, wish("v1"), 0s);
    auto sent = this->reconciler.takeActions();
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_REQUIRE(std::holds_alternative<SendOrder>(sent[0]));
    this->timers.advance(TimePoint { 1s });
    auto reading = this->reconciler.takeActions();
    BOOST_REQUIRE(reading.size() == 1u);
    this->obey(std::get<SendOrder>(sent[0]).order);
    this->reconciler.onOrderAnswer(OrderAnswer::Taken);
    this->reconciler.onState(std::get<ReadEngineState>(reading[0]).read, before);
    BOOST_TEST(this->reconciler.status().failures == 0u);
    this->now = 2s;
    this->run(2s);
    BOOST_TEST(this->orders.empty());
    BOOST_TEST(this->reconciler.status().isInForce);
}

BOOST_AUTO_TEST_CASE(a_higher_fence_in_the_engine_is_shown_and_never_obeyed)
{
    this->engine.fence = 99;
    this->answer = OrderAnswer::StaleFence;
    this->obeys = false;
    this->reconciler.onTarget(ConfigVersion { 3 }, wish("v1"), 0s);
    this->run(3s);
    BOOST_TEST(!this->reconciler.status().isInForce);
    BOOST_TEST(this->reconciler.status().failures > 0u);
    this->answer = OrderAnswer::Taken;
    this->obeys = true;
    this->reconciler.onTarget(ConfigVersion { 100 }, wish("v2"), 0s);
    this->run(3s);
    BOOST_TEST(this->reconciler.status().isInForce);
}

BOOST_AUTO_TEST_CASE(a_lower_version_is_ignored)
{
    this->reconciler.onTarget(ConfigVersion { 5 }, wish("v2"), 0s);
    this->reconciler.onTarget(ConfigVersion { 4 }, wish("v1"), 0s);
    this->run(3s);
    BOOST_TEST(this->engine.models.at(0).version == "v2");
}

BOOST_AUTO_TEST_SUITE_END()
