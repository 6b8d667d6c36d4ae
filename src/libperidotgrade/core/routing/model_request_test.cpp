// Tests of model requests between routers and hosts with fake engines: the normal path and failures at each
// step.
#include "test_support/world_counts.h"

#include <boost/test/unit_test.hpp>

#include <iostream>

using namespace peridotgrade;
using namespace peridotgrade::test;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    World world { WorldSettings {} };

    Fixture() { this->world.runFor(500ms); }

    const LedgerEntry& request(RequestId id) { return this->world.ledger.all().at(id); }

    void checkNothingHeld()
    {
        this->world.ledger.checkAllEnded();
        for (const std::string& failure : this->world.ledger.failures)
            BOOST_ERROR(failure);
        BOOST_TEST(heldAtEngines(this->world) == 0U);
        for (const auto& entry : this->world.entries) {
            BOOST_TEST(entry->router.openRequests() == 0U);
            BOOST_TEST(entry->router.heldAttempts() == 0U);
        }
        for (const auto& agent : this->world.agents)
            BOOST_TEST(agent->host.counters().reservationsHeld == 0U);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(model_request, Fixture)

BOOST_AUTO_TEST_CASE(requests_are_answered_completely_and_leave_nothing_held)
{
    std::vector<RequestId> ids;
    for (std::uint64_t i = 0; i < 8; ++i)
        ids.push_back(this->world.submit(i % 2, i));
    this->world.runFor(3s);
    for (RequestId id : ids)
        BOOST_TEST(this->request(id).isAnswered);
    this->checkNothingHeld();
    const ModelRouterCounters& counters = this->world.entries[0]->router.counters();
    BOOST_TEST(counters.answered == 4U);
    BOOST_TEST(counters.prefillTokensWasted == 0U);
}

BOOST_AUTO_TEST_CASE(an_entry_frozen_past_its_lease_loses_its_reservations_and_its_epoch)
{
    RequestId id = this->world.submit(0, 1);
    this->world.runFor(150ms);
    BOOST_TEST(heldAtEngines(this->world) > 0U);
    this->world.entries[0]->isFrozen = true;
    this->world.runFor(1500ms);
    BOOST_TEST(heldAtEngines(this->world) == 0U);
    this->world.entries[0]->isFrozen = false;
    this->world.runFor(4s);
    BOOST_TEST((this->request(id).finalActions == 1U));
    this->checkNothingHeld();
}

BOOST_AUTO_TEST_CASE(an_entry_that_loses_all_connections_leaves_nothing_held)
{
    this->world.submit(0, 1);
    this->world.runFor(150ms);
    for (std::size_t agent = 0; agent < this->world.agents.size(); ++agent)
        this->world.cut(0, agent);
    this->world.runFor(8s);
    this->checkNothingHeld();
}

BOOST_AUTO_TEST_CASE(an_agent_that_restarts_frees_what_its_predecessor_started)
{
    for (std::uint64_t i = 0; i < 6; ++i)
        this->world.submit(i % 2, i);
    this->world.runFor(150ms);
    BOOST_TEST(heldAtEngines(this->world) > 0U);
    for (std::size_t agent = 0; agent < this->world.agents.size(); ++agent) {
        this->world.killAgent(agent);
        this->world.startAgent(agent);
    }
    // Two round trips to the engine: the listing and the cancellations.
    this->world.runFor(12ms);
    BOOST_TEST(heldAtEngines(this->world) == 0U);
    this->world.runFor(8s);
    this->checkNothingHeld();
}

BOOST_AUTO_TEST_CASE(a_cancel_at_any_step_leaves_nothing_held)
{
    for (int step = 0; step < 120; ++step) {
        RequestId id = this->world.submit(0, 100 + step);
        this->world.runFor(std::chrono::milliseconds { step * 4 });
        this->world.cancel(id);
        // Entry to agent to engine and back. If the cancellation overtook the start, the host lists the
        // engine's streams 200 ms later.
        this->world.runFor(250ms);
        BOOST_TEST(heldAtEngines(this->world) == 0U, "cancelled after " << step * 4 << " ms");
    }
    this->checkNothingHeld();
}

BOOST_AUTO_TEST_CASE(an_answer_is_resumed_elsewhere_when_its_engine_is_lost)
{
    std::size_t resumed = 0;
    for (std::uint64_t i = 0; i < 20; ++i) {
        RequestId id = this->world.submit(0, 300 + i);
        this->world.runFor(120ms);
        std::uint32_t before = this->request(id).received;
        for (std::size_t engine = 1; engine < this->world.engines.size(); ++engine) {
            if (this->world.engines[engine]->held() > 0)
                this->world.engines[engine]->crash();
        }
        this->world.runFor(4s);
        bool isResumed = before > 0 && before < answerLength(promptOf(300 + i, false), 30);
        resumed += isResumed && this->request(id).isAnswered ? 1 : 0;
    }
    BOOST_TEST(resumed >= 10U);
    this->checkNothingHeld();
}

BOOST_AUTO_TEST_CASE(an_answer_that_has_begun_waits_for_an_engine_to_restart)
{
    WorldSettings settings;
    settings.engines = { EngineRole::Mixed, EngineRole::Mixed };
    World small(settings);
    small.runFor(500ms);
    std::size_t begun = 0;
    for (std::uint64_t i = 0; i < 10; ++i) {
        RequestId id = small.submit(0, 400 + i);
        small.runFor(80ms);
        const LedgerEntry& request = small.ledger.all().at(id);
        bool hasBegun = request.received > 0 && request.finalActions == 0;
        for (const auto& engine : small.engines)
            engine->crash();
        small.runFor(5s);
        begun += hasBegun ? 1 : 0;
        BOOST_TEST(request.isAnswered == hasBegun);
    }
    BOOST_TEST(begun >= 5U);
}

BOOST_AUTO_TEST_CASE(a_drain_completes_running_work_and_accepts_nothing_new)
{
    std::vector<RequestId> ids;
    for (std::uint64_t i = 0; i < 6; ++i)
        ids.push_back(this->world.submit(i % 2, i));
    this->world.runFor(100ms);
    for (std::size_t agent = 1; agent < this->world.agents.size(); ++agent)
        this->world.drainAgent(agent);
    this->world.runFor(50ms);
    RequestId late = this->world.submit(0, 50);
    this->world.runFor(3s);
    for (RequestId id : ids)
        BOOST_TEST(this->request(id).isAnswered);
    BOOST_TEST((this->request(late).refusal.outcome == Outcome::NotRun));
    BOOST_TEST(this->request(late).finalActions == 1U);
    BOOST_TEST(this->world.agents[1]->host.isDrained());
    BOOST_TEST(!this->world.agents[1]->host.resume());
    this->checkNothingHeld();
}

BOOST_AUTO_TEST_CASE(a_drain_for_a_change_can_be_ended)
{
    for (std::size_t agent = 1; agent < this->world.agents.size(); ++agent) {
        FakeAgent* process = this->world.agents[agent].get();
        process->post([process] { process->host.drainForChange(); });
    }
    this->world.runFor(50ms);
    RequestId refused = this->world.submit(0, 1);
    this->world.runFor(50ms);
    BOOST_TEST(this->request(refused).finalActions == 1U);
    for (std::size_t agent = 1; agent < this->world.agents.size(); ++agent) {
        FakeAgent* process = this->world.agents[agent].get();
        process->post([process] { process->host.resume(); });
    }
    this->world.runFor(50ms);
    RequestId answered = this->world.submit(0, 2);
    this->world.runFor(3s);
    BOOST_TEST(this->request(answered).isAnswered);
    this->checkNothingHeld();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retry_budget_in_the_router)

// Half of the agents and their engines are lost at once and do not return.
BOOST_AUTO_TEST_CASE(attempts_stay_under_1_2_times_the_requests_when_a_data_centre_is_lost)
{
    WorldSettings settings;
    using enum EngineRole;
    settings.engines = { Prefill, Prefill, Decode, Decode, Decode, Decode, Mixed, Mixed };
    World world(settings);
    world.runFor(500ms);
    auto sendRequests = [&](int count) {
        for (int i = 0; i < count; ++i) {
            world.submit(i % 2, world.random.next() % 1000000);
            world.runFor(20ms);
        }
    };
    sendRequests(200);
    for (std::size_t lost = 0; lost < settings.engines.size(); lost += 2) {
        world.killAgent(lost);
        world.engines[lost]->crash();
    }
    sendRequests(500);
    world.runFor(8s);
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    for (const auto& entry : world.entries) {
        requests += entry->router.counters().requests;
        attempts += entry->router.counters().attempts;
    }
    std::cout << "data centre lost: " << requests << " requests, " << attempts << " attempts\n";
    BOOST_TEST(attempts * 10 < requests * 12);
    world.ledger.checkAllEnded();
    BOOST_TEST(world.ledger.failures.empty());
}

BOOST_AUTO_TEST_SUITE_END()
