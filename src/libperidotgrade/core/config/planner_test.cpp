// Tests of the planner: determinism, waves, reported shortages and contradictions.
#include "peridotgrade/core/config/intent_codec.h"
#include "peridotgrade/core/config/planner.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

struct PlannerFixture {
    PlannerFixture()
    {
        for (int i = 0; i < 12; ++i) {
            FleetEngine engine;
            engine.agent = AgentId { "engine-" + std::string(1, static_cast<char>('a' + i)) };
            engine.service = ServiceId { i < 8 ? "planwriter" : "spare" };
            this->view.fleet.push_back(engine);
        }
        this->view.weightStoreBytesPerSecond = 1'000;
    }

    static ServeModel serve(const std::string& version, std::uint32_t prefill, std::uint32_t decode)
    {
        ServeModel intent;
        intent.service = ServiceId { "planwriter" };
        intent.model = ModelId { "planwriter" };
        intent.modelVersion = version;
        intent.prefillEngines = prefill;
        intent.decodeEngines = decode;
        intent.weightBytes = 5'000;
        return intent;
    }

    Plan plan(const std::vector<Intent>& intents) const
    {
        auto result = makePlan(this->base, this->version, intents, this->view);
        BOOST_REQUIRE(std::holds_alternative<Plan>(result));
        return std::get<Plan>(result);
    }

    void confirm(const Plan& plan)
    {
        this->base = withChanges(this->base, plan.changes, WallTime {});
        this->version = ConfigVersion { this->version.raw() + 1 };
    }

    void confirmFirstVersion()
    {
        OfferService offer { ServiceId { "planwriter" }, ServiceKind::Model };
        this->confirm(this->plan({ offer, serve("v1", 2, 6) }));
    }

    std::size_t problemCount(const std::vector<Intent>& intents) const
    {
        auto result = makePlan(this->base, this->version, intents, this->view);
        auto* errors = std::get_if<std::vector<ConfigError>>(&result);
        return errors == nullptr ? 0 : errors->size();
    }

    SiteConfiguration base;
    ConfigVersion version;
    PlanningView view;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(planner, PlannerFixture)

BOOST_AUTO_TEST_CASE(the_same_input_gives_the_same_plan_whatever_the_order_of_the_fleet)
{
    OfferService offer { ServiceId { "planwriter" }, ServiceKind::Model };
    Plan first = this->plan({ offer, serve("v1", 2, 6) });
    std::reverse(this->view.fleet.begin(), this->view.fleet.end());
    Plan second = this->plan({ offer, serve("v1", 2, 6) });
    BOOST_TEST((first.id == second.id));
    BOOST_TEST(describe(first) == describe(second));
    this->version = ConfigVersion { 9 };
    BOOST_TEST((this->plan({ offer, serve("v1", 2, 6) }).id != first.id));
}

BOOST_AUTO_TEST_CASE(a_new_version_is_loaded_in_waves_that_keep_most_of_each_pool_serving)
{
    this->confirmFirstVersion();
    Plan plan = this->plan({ serve("v2", 2, 6) });
    BOOST_TEST(plan.steps.size() == 8u);
    for (const PlanStep& step : plan.steps) {
        auto inWave = std::count_if(plan.steps.begin(), plan.steps.end(),
            [&](const PlanStep& other) { return other.wave == step.wave; });
        BOOST_TEST(inWave == 1);
        BOOST_TEST((step.loadTime == 5s));
    }
    BOOST_REQUIRE(plan.services.size() == 1u);
    BOOST_TEST(plan.services[0].during.decodePlaces == 100u);
    BOOST_TEST(plan.services[0].after.decodePlaces == 120u);
    BOOST_TEST((plan.expectedDuration == 8 * 15s));
}

BOOST_AUTO_TEST_CASE(a_role_change_loads_nothing_and_a_shortage_is_reported)
{
    this->confirmFirstVersion();
    Plan plan = this->plan({ serve("v1", 4, 4) });
    BOOST_TEST(plan.steps.size() == 2u);
    BOOST_TEST(nameOf(plan.steps.at(0).kind) == "change_role");
    Plan large = this->plan({ serve("v1", 6, 12) });
    BOOST_TEST(large.refusals.size() == 1u);
    this->view.loads.push_back({ ServiceId { "planwriter" }, 100 });
    Plan small = this->plan({ serve("v1", 2, 2) });
    BOOST_TEST(small.refusals.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_larger_share_of_the_commitment_takes_engines_that_a_smaller_one_frees)
{
    this->confirmFirstVersion();
    OfferService offer { ServiceId { "letters" }, ServiceKind::Model };
    ServeModel letters = serve("v1", 1, 3);
    letters.service = ServiceId { "letters" };
    // Pays for 12 engines over 30 days at a price of 1 per engine hour.
    OweCommitment owed { { 30, 12 * 30 * 24, 1 } };
    this->confirm(this->plan({ offer, letters, owed }));
    Plan plan = this->plan({ ShareCommitment { ServiceId { "planwriter" }, 0.5 },
        ShareCommitment { ServiceId { "letters" }, 0.5 } });
    BOOST_REQUIRE(plan.services.size() == 2u);
    for (const ServiceForecast& forecast : plan.services)
        BOOST_TEST(forecast.enginesAfter == 6u);
    BOOST_TEST(plan.unusedSpendMinorUnits == 0u);
    std::set<AgentId> moved;
    for (const PlanStep& step : plan.steps)
        moved.insert(step.agent);
    BOOST_TEST(moved.size() == 2u);
}

BOOST_AUTO_TEST_CASE(contradictory_or_invalid_intents_give_errors_and_no_plan)
{
    this->confirmFirstVersion();
    BOOST_TEST(this->problemCount({ serve("v2", 2, 6), serve("v3", 2, 6) }) == 1u);
    BOOST_TEST(this->problemCount(
                   { serve("v2", 2, 6), StopModel { ServiceId { "planwriter" }, ModelId { "planwriter" } } })
        == 1u);
    BOOST_TEST(this->problemCount({ ShareCommitment { ServiceId { "planwriter" }, 0.7 },
                   OfferService { ServiceId { "x" }, ServiceKind::Application },
                   ShareCommitment { ServiceId { "x" }, 0.4 } })
        == 1u);
    BOOST_TEST(this->problemCount({ ShareCommitment { ServiceId { "nobody" }, 0.1 } }) == 1u);
    BOOST_TEST(this->problemCount({ serve("v2", 0, 6) }) == 1u);
    Workspace one { WorkspaceId { "one" }, "aa" };
    Workspace two { WorkspaceId { "two" }, "aa" };
    BOOST_TEST(this->problemCount({ AdmitWorkspace { one }, AdmitWorkspace { two } }) == 1u);
    BOOST_TEST(this->problemCount({ serve("v2", 2, 6) }) == 0u);
}

BOOST_AUTO_TEST_CASE(a_plan_with_changed_content_is_not_confirmable)
{
    OfferService offer { ServiceId { "planwriter" }, ServiceKind::Model };
    Plan plan = this->plan({ offer, serve("v1", 2, 6) });
    BOOST_TEST(std::holds_alternative<Plan>(confirmablePlanFrom(toJson(plan))));
    plan.base = ConfigVersion { 5 };
    BOOST_TEST(std::holds_alternative<ConfigError>(confirmablePlanFrom(toJson(plan))));
}

BOOST_AUTO_TEST_CASE(intents_are_read_from_json)
{
    auto value = boost::json::parse(R"({"intents":[
        {"kind":"offerService","id":"planwriter","serviceKind":"model"},
        {"kind":"serveModel","service":"planwriter","model":"m","modelVersion":"v1","mixedEngines":3},
        {"kind":"admitWorkspace","id":"w","keySha256":"aa","priority":"urgent","share":2}]})");
    auto intents = intentsFrom(value);
    BOOST_REQUIRE(std::holds_alternative<std::vector<Intent>>(intents));
    BOOST_TEST(std::get<std::vector<Intent>>(intents).size() == 3u);
    auto unknown = intentsFrom(boost::json::parse(R"({"intents":[{"kind":"dream"}]})"));
    BOOST_TEST(std::get<ConfigError>(unknown).detail.find("dream") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
