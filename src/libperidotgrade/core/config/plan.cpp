// Ids, JSON encoding and text form of plans.
#include "peridotgrade/core/config/plan.h"

#include "peridotgrade/core/base/name_table.h"
#include "peridotgrade/core/config/configuration_codec.h"
#include "value_json.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include <sstream>
#include <utility>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    constexpr auto StepNames = std::to_array<std::string_view>({ "load", "change_role", "release" });

    json::array changesJson(const std::vector<ConfigurationChange>& changes)
    {
        json::array array;
        for (const ConfigurationChange& change : changes)
            array.push_back(toJson(change));
        return array;
    }

    std::string hexOf(std::uint64_t value)
    {
        constexpr std::string_view Digits = "0123456789abcdef";
        std::string text;
        for (int shift = 60; shift >= 0; shift -= 4)
            text.push_back(Digits[(value >> shift) & 0xF]);
        return text;
    }

    json::object objectOf(const ServiceCapacity& capacity)
    {
        json::object object;
        object["decodePlaces"] = capacity.decodePlaces;
        object["prefillTokensPerSecond"] = capacity.prefillTokensPerSecond;
        return object;
    }

    json::object objectOf(const ServiceForecast& forecast)
    {
        json::object object;
        object["service"] = forecast.service.raw();
        object["before"] = objectOf(forecast.before);
        object["during"] = objectOf(forecast.during);
        object["after"] = objectOf(forecast.after);
        object["enginesAfter"] = forecast.enginesAfter;
        object["committedEngines"] = forecast.committedEngines;
        return object;
    }

    json::object objectOf(const PlanStep& step)
    {
        json::object object;
        object["agent"] = step.agent.raw();
        object["kind"] = nameOf(step.kind);
        object["wave"] = step.wave;
        object["startAfterMs"] = step.startAfter.count();
        object["loadTimeMs"] = step.loadTime.count();
        object["reason"] = step.reason;
        return object;
    }

} // namespace

std::string_view nameOf(StepKind kind) { return nameAt(StepNames, kind); }

PlanId planIdOf(
    ConfigVersion base, const std::vector<ConfigurationChange>& changes, const std::string& summary)
{
    json::object content;
    content["base"] = base.raw();
    content["changes"] = changesJson(changes);
    content["summary"] = summary;
    std::string text = json::serialize(content);
    XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return PlanId { hexOf(hash.high64) + hexOf(hash.low64) };
}

json::value toJson(const Plan& plan)
{
    json::array steps;
    for (const PlanStep& step : plan.steps)
        steps.push_back(objectOf(step));
    json::array services;
    for (const ServiceForecast& forecast : plan.services)
        services.push_back(objectOf(forecast));
    json::array refusals;
    for (const std::string& refusal : plan.refusals)
        refusals.emplace_back(refusal);
    json::object object;
    object["id"] = plan.id.raw();
    object["base"] = plan.base.raw();
    object["summary"] = plan.summary;
    object["steps"] = std::move(steps);
    object["services"] = std::move(services);
    object["expectedDurationMs"] = plan.expectedDuration.count();
    object["unusedSpendMinorUnits"] = plan.unusedSpendMinorUnits;
    object["refusals"] = std::move(refusals);
    object["changes"] = changesJson(plan.changes);
    return object;
}

std::variant<Plan, ConfigError> confirmablePlanFrom(const json::value& value)
{
    JsonReader reader(value, "plan");
    Plan plan;
    plan.id = PlanId { reader.text("id") };
    plan.base = ConfigVersion { reader.integer("base") };
    plan.summary = reader.text("summary");
    for (const json::value& each : reader.arrayOr("changes")) {
        auto change = configurationChangeFrom(each);
        if (auto* error = std::get_if<ConfigError>(&change))
            return std::move(*error);
        plan.changes.push_back(std::move(std::get<ConfigurationChange>(change)));
    }
    if (reader.error())
        return *reader.error();
    bool isIdOfContent = planIdOf(plan.base, plan.changes, plan.summary) == plan.id;
    if (!isIdOfContent)
        return ConfigError { ConfigErrorKind::InvalidValue, "the plan's id does not belong to its content" };
    return plan;
}

std::string describe(const Plan& plan)
{
    std::ostringstream text;
    text << "plan " << plan.id << " on version " << plan.base << ": " << plan.summary << "\n";
    text << "expected to take " << plan.expectedDuration.count() << " ms; unused committed spend in a period "
         << plan.unusedSpendMinorUnits << " minor units\n";
    for (const ServiceForecast& each : plan.services) {
        text << "service " << each.service << ": decode places " << each.before.decodePlaces << " before, "
             << each.during.decodePlaces << " at least during, " << each.after.decodePlaces
             << " after; prefill tokens a second " << each.before.prefillTokensPerSecond << ", "
             << each.during.prefillTokensPerSecond << ", " << each.after.prefillTokensPerSecond
             << "; engines " << each.enginesAfter << " of " << each.committedEngines << " committed\n";
    }
    for (const PlanStep& step : plan.steps) {
        text << "wave " << step.wave << " after " << step.startAfter.count() << " ms: " << step.agent << " "
             << nameOf(step.kind) << ", " << step.reason;
        if (step.loadTime.count() > 0)
            text << " (load " << step.loadTime.count() << " ms)";
        text << "\n";
    }
    for (const std::string& refusal : plan.refusals)
        text << "not met: " << refusal << "\n";
    return text.str();
}

} // namespace peridotgrade
