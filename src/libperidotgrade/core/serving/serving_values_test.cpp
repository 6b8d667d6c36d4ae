// Tests of server health, output estimates, event framing, Retry-After delays and routes.
#include "peridotgrade/core/serving/event_framer.h"
#include "peridotgrade/core/serving/output_estimate.h"
#include "peridotgrade/core/serving/request_cost.h"
#include "peridotgrade/core/serving/request_priority.h"
#include "peridotgrade/core/serving/retry_after.h"
#include "peridotgrade/core/serving/routing_configuration.h"
#include "peridotgrade/core/serving/server_health.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ServingValuesTest)

BOOST_AUTO_TEST_CASE(unreachableServersAreEjectedForIncreasingTimes)
{
    ServerHealth health;
    const ServerId server { "a" };
    TimePoint now { 1s };
    health.record(server, ServerCallResult::Unreachable, now);
    BOOST_TEST(health.isEjected(server, now + ServerHealth::BaseEjectionTime - 1ms));
    BOOST_TEST(!health.isEjected(server, now + ServerHealth::BaseEjectionTime));
    for (int failure = 0; failure < 10; ++failure)
        health.record(server, ServerCallResult::Unreachable, now);
    BOOST_TEST(!health.isEjected(server, now + ServerHealth::MaxEjectionTime));
    health.record(server, ServerCallResult::Answered, now);
    BOOST_TEST(!health.isEjected(server, now));
    health.record(server, ServerCallResult::Superseded, now);
    BOOST_TEST(health.isEjected(server, now + ServerHealth::MaxEjectionTime - 1ms));
}

BOOST_AUTO_TEST_CASE(answersAtTheAddressOfAReplacedServerDoNotEndItsEjection)
{
    // Guards against a successor at the address of a crashed server: it granted reservations, which ended the
    // ejection, and rejected the runs that followed.
    for (ServerCallResult replaced : { ServerCallResult::Superseded, ServerCallResult::Absent }) {
        ServerHealth health;
        const ServerId server { "a" };
        TimePoint now { 1s };
        health.record(server, replaced, now);
        health.record(server, ServerCallResult::Answered, now + 10ms);
        BOOST_TEST(health.isReplaced(server, now + 10ms));
        BOOST_TEST(health.isEjected(server, now + ServerHealth::MaxEjectionTime - 1ms));
        BOOST_TEST(!health.isEjected(server, now + ServerHealth::MaxEjectionTime));
        // The list shows a new incarnation of the server.
        health.record(server, replaced, now);
        health.forget(server);
        BOOST_TEST(!health.isEjected(server, now));
    }
}

BOOST_AUTO_TEST_CASE(serverErrorsCountWithoutEjection)
{
    ServerHealth health;
    const ServerId server { "a" };
    for (int call = 0; call < 20; ++call)
        health.record(server, ServerCallResult::ServerError, TimePoint { 1s });
    BOOST_TEST(!health.isEjected(server, TimePoint { 1s }));
    BOOST_TEST(health.failureShare(server) > 0.8);
    BOOST_TEST(health.failureShare(ServerId { "b" }) == 0);
}

BOOST_AUTO_TEST_CASE(estimateFollowsAnswerLengthsWithinTheCallersLimit)
{
    OutputEstimate estimate;
    BOOST_TEST(estimate.tokensToReserve("r", 5000, 1000) == 1000U);
    std::uint32_t before = estimate.tokensToReserve("r", 500, 1760);
    for (int answer = 0; answer < 200; ++answer)
        estimate.record("r", 500, 600);
    BOOST_TEST(estimate.tokensToReserve("r", 500, 1760) > before);
    BOOST_TEST(estimate.tokensToReserve("r", 0, 1760) < 1760U);
}

BOOST_AUTO_TEST_CASE(hintsThatSayNothingAreNotUsed)
{
    // Guards against a caller whose hints are in another unit: far too much memory would be reserved.
    OutputEstimate estimate;
    for (int answer = 0; answer < 100; ++answer)
        estimate.record("r", answer % 2 == 0 ? 4000 : 3000, 700 + 10 * (answer % 7));
    std::uint32_t expected = estimate.expectedTokens("r", 4000, 8000);
    BOOST_TEST(expected >= 680U);
    BOOST_TEST(expected <= 780U);
}

BOOST_AUTO_TEST_CASE(costCountsPromptOutputAndEvents)
{
    EngineSpec engine;
    engine.kvCapacityTokens = 20'000;
    engine.tokensPerEvent = 8;
    RequestCost cost = RequestCost::estimate({ "r", 3000, 1900, 500 }, OutputEstimate {}, engine);
    BOOST_TEST(cost.outputTokens == 500U);
    BOOST_TEST(cost.events == 63U);
    BOOST_TEST(cost.reservedTokens == 3900U);
    // Guards against an overflow, and against a request that fits no engine.
    cost = RequestCost::estimate({ "r", 4'294'967'295, 4'294'967'295, 4'294'967'295 }, {}, engine);
    BOOST_TEST(cost.reservedTokens == 20'000U);
}

BOOST_AUTO_TEST_CASE(framerReleasesCompleteEventsOnly)
{
    EventFramer framer;
    BOOST_TEST(framer.push("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    BOOST_TEST(framer.lastId().value() == 1U);
    BOOST_TEST(framer.hasPartialEvent());
    BOOST_TEST(framer.push("ta: b\n") == "");
    BOOST_TEST(framer.push("\n") == "id: 2\ndata: b\n\n");
    BOOST_TEST(framer.lastId().value() == 2U);
    framer.push("id: 3\ndata: torn");
    framer.dropPartialEvent();
    BOOST_TEST(framer.push("id:3\r\ndata: whole\r\n\r\n") == "id:3\r\ndata: whole\r\n\r\n");
    BOOST_TEST(framer.lastId().value() == 3U);
    BOOST_TEST(framer.events() == 3U);
}

// Guards against a stream with repeated ids that is taken for one that makes progress, or resumed elsewhere.
BOOST_AUTO_TEST_CASE(framerStopsAtAnIdThatDoesNotGrow)
{
    const std::string first = "id: 4\ndata: a\n\n";
    const std::string comment = ": no event with an id\n\n";
    for (const std::string repeated : { "id: 4\ndata: b\n\n", "id: 3\r\ndata: b\r\n\r\n" }) {
        EventFramer framer { EventFramer::EventIds::Growing };
        BOOST_TEST(framer.push(first + comment) == first + comment);
        BOOST_TEST(!framer.hasRepeatedId());
        BOOST_TEST(framer.push("id: 6\n\n" + repeated + "id: 7\n\nid: 8") == "id: 6\n\n");
        BOOST_TEST(framer.hasRepeatedId());
        BOOST_TEST(!framer.hasPartialEvent());
        BOOST_TEST(framer.push("\n\nid: 9\n\n").empty());
        BOOST_TEST((framer.lastId() == 6U));
        BOOST_TEST(framer.events() == 3U);
        // Streams that are never resumed need no ids.
        EventFramer other;
        BOOST_TEST(other.push(first + repeated) == first + repeated);
        BOOST_TEST(!other.hasRepeatedId());
    }
    EventFramer resumed { EventFramer::EventIds::Growing, 4 };
    BOOST_TEST(resumed.push(first).empty());
    BOOST_TEST(resumed.hasRepeatedId());
}

BOOST_AUTO_TEST_CASE(retryAfterIsWithinAThirdOfTheTimeLeftAndSpreadOut)
{
    RandomSource random(7);
    for (std::chrono::milliseconds left : { 0ms, 90ms, 1500ms, 3000ms, 14000ms, 60000ms }) {
        std::chrono::milliseconds least = 1h;
        std::chrono::milliseconds most { 0 };
        for (int call = 0; call < 500; ++call) {
            auto wait = chooseRetryAfter(left, random);
            BOOST_REQUIRE(wait >= 0ms);
            BOOST_REQUIRE(wait * 3 <= left);
            least = std::min(least, wait);
            most = std::max(most, wait);
        }
        BOOST_TEST((left < 1s || most - least >= most / 3));
    }
}

BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostWins)
{
    RoutingConfiguration configuration;
    auto add = [&](const std::string& name, const std::string& host, const std::string& prefix) {
        ServiceRoute route;
        route.name = name;
        route.host = host;
        route.pathPrefix = prefix;
        configuration.routes.push_back(route);
    };
    add("short", "h", "/a/");
    add("long", "h", "/a/b/");
    add("other", "g", "/a/b/c/");
    BOOST_TEST(configuration.routeFor("h", "/a/b/c/d")->name == "long");
    BOOST_TEST(configuration.routeFor("h", "/a/x")->name == "short");
    BOOST_TEST((configuration.routeFor("h", "/ab") == nullptr));
    BOOST_TEST((configuration.routeFor("i", "/a/") == nullptr));
    // Only where requests of one service differ: servers of other deployments see no new field.
    for (ServiceRoute& route : configuration.routes)
        route.services = { { ServiceId { "s" }, 1 } };
    configuration.routes[2].services = { { ServiceId { "t" }, 1 } };
    configuration.routes[2].priority = 1;
    BOOST_TEST(!configuration.hasPriorities(ServiceId { "s" }));
    configuration.routes[1].priority = 1;
    BOOST_TEST(configuration.hasPriorities(ServiceId { "s" }));
    BOOST_TEST(!configuration.hasPriorities(ServiceId { "t" }));
    configuration.tenants.emplace_back();
    BOOST_TEST(configuration.hasPriorities(ServiceId { "t" }));
    BOOST_TEST(urgencyOf({ 2, 1 }) == 7U);
    BOOST_TEST(urgencyOf({ 9, 9 }) == 9U);
}

BOOST_AUTO_TEST_CASE(retryAfterIsNotBeforeTheServersAreBack)
{
    TimePoint now { std::chrono::seconds { 50 } };
    std::chrono::milliseconds usual { 2000 };
    BOOST_TEST((notBefore(now, std::nullopt, usual) == usual));
    BOOST_TEST((notBefore(now, now - std::chrono::seconds { 1 }, usual) == usual));
    BOOST_TEST(
        (notBefore(now, now + std::chrono::seconds { 8 }, usual) == std::chrono::milliseconds { 8500 }));
}

BOOST_AUTO_TEST_CASE(eventWithoutAnEndIsNoticedAndSearchedOnce)
{
    EventFramer framer;
    const std::string piece(16 * 1024, 'x');
    std::size_t pieces = 0;
    while (!framer.isEventTooLong()) {
        BOOST_TEST(framer.push(piece).empty());
        BOOST_REQUIRE(++pieces < 100U);
    }
    BOOST_TEST(pieces * piece.size() > EventFramer::MaxEventBytes);
    framer.dropPartialEvent();
    BOOST_TEST(!framer.hasPartialEvent());
    // The end of an event may be split at any byte.
    for (const std::string end : { "\n\n", "\r\n\r\n" }) {
        std::string event = "id: 7" + end;
        std::string passed;
        for (char byte : event)
            passed += framer.push(std::string(1, byte));
        BOOST_TEST(passed == event);
        BOOST_TEST(framer.push(event + event) == event + event);
    }
    BOOST_TEST((framer.lastId() == 7U));
}

BOOST_AUTO_TEST_SUITE_END()
