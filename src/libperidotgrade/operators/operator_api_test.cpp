// Tests of the operator API over loopback: credentials, races, lost answers, log outages.
#include "fake_log_service.h"
#include "peridotgrade/core/base/key_hash.h"
#include "peridotgrade/core/config/confirmation_status.h"
#include "peridotgrade/net/http_client.h"
#include "peridotgrade/operators/operator_api.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

using namespace peridotgrade;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto ServeTwo = R"({"intents":[{"kind":"offerService","id":"s","serviceKind":"model"},
    {"kind":"serveModel","service":"s","model":"m","modelVersion":"v1","mixedEngines":2}]})";
constexpr auto ServeOne = R"({"intents":[{"kind":"offerService","id":"s","serviceKind":"model"},
    {"kind":"serveModel","service":"s","model":"m","modelVersion":"v2","mixedEngines":1}]})";

struct OperatorFixture {
    OperatorFixture()
        : log(this->context)
        , follower(this->context.get_executor(), this->followerSettings())
        , api(
              this->apiSettings(), this->follower, [] { return planningView(); }, this->events)
        , server(this->context.get_executor(), serverSettings(),
              [this](HttpExchange& exchange) { return this->api.handle(exchange); })
    {
        this->endpoint = std::get<Endpoint>(this->server.start());
        this->follower.start();
    }

    ConfigurationFollowerSettings followerSettings() const
    {
        ConfigurationFollowerSettings settings;
        settings.platform = this->log.endpoint;
        settings.seed = 1;
        return settings;
    }

    OperatorApiSettings apiSettings() const
    {
        OperatorApiSettings settings;
        settings.platform = this->log.endpoint;
        settings.operators.push_back({ "ana", keySha256("ana-key") });
        settings.operators.push_back({ "bor", keySha256("bor-key") });
        settings.confirmTimeout = 3s;
        return settings;
    }

    static HttpServerSettings serverSettings()
    {
        HttpServerSettings settings;
        settings.listen = { "127.0.0.1", 0 };
        return settings;
    }

    static PlanningView planningView()
    {
        PlanningView view;
        view.fleet.push_back({ AgentId { "e1" }, ServiceId { "s" } });
        view.fleet.push_back({ AgentId { "e2" }, ServiceId { "s" } });
        return view;
    }

    template <typename Body> void run(Body body)
    {
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                co_await this->until([&] { return this->follower.current()->isReady; });
                co_await body();
                this->context.stop();
            },
            [](std::exception_ptr failure) {
                if (failure)
                    std::rethrow_exception(failure);
            });
        this->context.run();
    }

    asio::awaitable<void> until(std::function<bool()> condition)
    {
        asio::steady_timer timer(this->context);
        for (int tries = 0; tries < 4000 && !condition(); ++tries) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        BOOST_REQUIRE(condition());
    }

    asio::awaitable<HttpResponse> call(
        std::string method, std::string target, std::string body, std::string key)
    {
        HttpRequest request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.body = std::move(body);
        request.fields.push_back(HttpField { "Authorization", "Bearer " + key });
        HttpClient client(this->context.get_executor(), this->endpoint);
        auto result = co_await client.send(std::move(request), 20s, false);
        BOOST_REQUIRE(std::holds_alternative<HttpResponse>(result));
        co_return std::move(std::get<HttpResponse>(result));
    }

    /// Makes a plan and returns it as JSON text.
    asio::awaitable<std::string> plan(std::string intents)
    {
        std::string target = "/operator/intents";
        std::string key = "ana-key";
        std::string method = "POST";
        HttpResponse response = co_await this->call(method, target, std::move(intents), key);
        BOOST_TEST(response.status == 200);
        co_return response.body;
    }

    static std::string idOf(const std::string& plan)
    {
        return std::string { json::parse(plan).as_object().at("id").as_string() };
    }

    /// Confirms a plan and returns the HTTP status and the outcome.
    asio::awaitable<std::string> confirm(std::string plan, std::string key)
    {
        std::string target = "/operator/plans/" + idOf(plan) + "/confirm";
        std::string method = "POST";
        HttpResponse response = co_await this->call(method, target, std::move(plan), std::move(key));
        std::string outcome { json::parse(response.body).as_object().at("outcome").as_string() };
        co_return std::to_string(response.status) + " " + outcome;
    }

    asio::io_context context;
    test::FakeLogService log;
    NullEventSink events;
    ConfigurationFollower follower;
    OperatorApi api;
    HttpServer server;
    Endpoint endpoint;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(operator_api, OperatorFixture)

BOOST_AUTO_TEST_CASE(a_valid_key_and_valid_intents_are_required)
{
    this->run([&]() -> asio::awaitable<void> {
        std::vector<std::vector<std::string>> cases {
            { "wrong-key", ServeTwo, "401", "unauthorized" },
            { "ana-key", "{", "400", "not_json" },
            { "ana-key", R"({"intents":[{"kind":"serveModel","modell":"m"}]})", "400", "intents[0].modell" },
            { "ana-key", R"({"intents":[{"kind":"serveModel","service":"s"}]})", "400", "model" },
            { "ana-key", R"({"intents":[{"kind":"shareCommitment","service":"s","share":0.5}]})", "422",
                "service s is not known" },
        };
        for (const auto& each : cases) {
            std::string method = "POST";
            std::string target = "/operator/intents";
            HttpResponse response = co_await this->call(method, target, each[1], each[0]);
            BOOST_TEST(std::to_string(response.status) == each[2]);
            BOOST_TEST(response.body.find(each[3]) != std::string::npos, response.body);
        }
        BOOST_TEST(this->log.records.empty());
    });
}

BOOST_AUTO_TEST_CASE(a_plan_changes_nothing_until_confirmed_and_takes_effect_once)
{
    this->run([&]() -> asio::awaitable<void> {
        std::string plan = co_await this->plan(ServeTwo);
        BOOST_TEST(this->log.records.empty());
        std::string first = co_await this->confirm(plan, "ana-key");
        BOOST_TEST(first == "200 in_force");
        std::string again = co_await this->confirm(plan, "bor-key");
        BOOST_TEST(again == "200 in_force");
        BOOST_TEST(this->log.records.size() == 1u);
        BOOST_TEST(this->follower.current()->configuration.engines.size() == 2u);
    });
}

BOOST_AUTO_TEST_CASE(a_lost_append_answer_is_settled_by_reading_back)
{
    this->run([&]() -> asio::awaitable<void> {
        this->log.answersToLose = 1;
        std::string plan = co_await this->plan(ServeTwo);
        std::string outcome = co_await this->confirm(plan, "ana-key");
        BOOST_TEST(outcome == "200 in_force");
        BOOST_TEST(this->follower.current()->version.raw() == 1u);
    });
}

BOOST_AUTO_TEST_CASE(of_two_competing_confirmations_one_takes_effect_and_the_other_is_void)
{
    this->run([&]() -> asio::awaitable<void> {
        std::string mine = co_await this->plan(ServeTwo);
        std::string theirs = co_await this->plan(ServeOne);
        auto competingPlan = std::get<Plan>(confirmablePlanFrom(json::parse(theirs)));
        this->log.competingRecord = encodeRecord(confirmationOf(competingPlan, "bor"));
        std::string outcome = co_await this->confirm(mine, "ana-key");
        BOOST_TEST(outcome == "409 void");
        std::string other = co_await this->confirm(theirs, "bor-key");
        BOOST_TEST(other == "200 in_force");
        BOOST_TEST(this->follower.current()->version.raw() == 1u);
    });
}

BOOST_AUTO_TEST_CASE(a_confirmation_during_a_log_outage_is_not_confirmed)
{
    this->run([&]() -> asio::awaitable<void> {
        std::string plan = co_await this->plan(ServeTwo);
        this->log.isDown = true;
        std::string outcome = co_await this->confirm(plan, "ana-key");
        BOOST_TEST(outcome == "503 not_confirmed");
        this->log.isDown = false;
        this->log.appendsToRefuse = 2;
        std::string later = co_await this->confirm(plan, "ana-key");
        BOOST_TEST(later == "200 in_force");
        BOOST_TEST(this->log.records.size() == 1u);
    });
}

BOOST_AUTO_TEST_SUITE_END()
