// The commands `intent`, `plan`, `confirm`, `history` and `check-settings`.
#include "commands.h"
#include "output.h"

#include "peridotgrade/ops/settings/agent_settings.h"
#include "peridotgrade/ops/settings/entry_settings.h"
#include "peridotgrade/ops/settings/schema_check.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <iostream>
#include <iterator>
#include <utility>

namespace peridotgrade::ctl {

namespace json = boost::json;

namespace {

    std::variant<std::string, SettingsError> readInput(const std::string& file)
    {
        if (file != "-")
            return readFile(file);
        return std::string { std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>() };
    }

    HttpRequest requestOf(std::string method, std::string target, std::string body = {})
    {
        HttpRequest request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.body = std::move(body);
        return request;
    }

    json::array listIn(const json::value& object, const char* key)
    {
        const json::value* list = object.is_object() ? object.as_object().if_contains(key) : nullptr;
        return list != nullptr && list->is_array() ? list->as_array() : json::array {};
    }

    void printCapacity(const json::value& service)
    {
        const json::object& forecast = service.as_object();
        std::cout << "service " << stringMember(service, "service") << ": decode places "
                  << numberMember(forecast.at("before"), "decodePlaces") << " before, "
                  << numberMember(forecast.at("during"), "decodePlaces") << " at least during, "
                  << numberMember(forecast.at("after"), "decodePlaces") << " after; engines "
                  << numberMember(service, "enginesAfter") << " of "
                  << numberMember(service, "committedEngines") << " committed\n";
    }

    void printPlan(const json::value& plan)
    {
        std::cout << "plan " << stringMember(plan, "id") << " on version " << numberMember(plan, "base")
                  << ": " << stringMember(plan, "summary") << "\n";
        std::cout << "expected to take " << numberMember(plan, "expectedDurationMs")
                  << " ms; unused committed spend in a period " << numberMember(plan, "unusedSpendMinorUnits")
                  << " minor units\n";
        for (const json::value& service : listIn(plan, "services"))
            printCapacity(service);
        for (const json::value& step : listIn(plan, "steps"))
            std::cout << "wave " << numberMember(step, "wave") << " after "
                      << numberMember(step, "startAfterMs") << " ms: " << stringMember(step, "agent") << " "
                      << stringMember(step, "kind") << ", " << stringMember(step, "reason") << "\n";
        for (const json::value& refusal : listIn(plan, "refusals"))
            std::cout << "not met: " << std::string_view { refusal.as_string() } << "\n";
        std::cout << "nothing has changed; confirm with: peridotctl confirm " << stringMember(plan, "id")
                  << "\n";
    }

    int printPlanAnswer(const CommandContext& context, const NodeAnswer& answer)
    {
        if (std::holds_alternative<NetError>(answer.result))
            return reportUnreachable(answer);
        const auto& response = std::get<HttpResponse>(answer.result);
        if (response.status != 200)
            return reportError(response, context.isJson);
        if (context.isJson)
            std::cout << response.body << "\n";
        else
            printPlan(bodyOf(response));
        return Done;
    }

    int outcomeStatus(const std::string& outcome)
    {
        if (outcome == "in_force")
            return Done;
        if (outcome == "void" || outcome == "forgotten")
            return PlanIsVoid;
        return outcome == "not_confirmed" ? NotConfirmed : Undecided;
    }

    void printOutcome(const json::value& body, const std::string& outcome)
    {
        std::cout << "plan " << stringMember(body, "plan") << " " << outcome;
        if (outcome == "in_force")
            std::cout << " at version " << numberMember(body, "version") << ", confirmed by "
                      << stringMember(body, "operator")
                      << (boolMember(body, "isSuperseded") ? ", superseded since" : "");
        if (outcome == "void")
            std::cout << ": " << stringMember(body, "confirmedInstead")
                      << " was confirmed first; make a new plan";
        if (outcome == "forgotten")
            std::cout << ": its base version is too old to tell whether it took effect; make a new plan";
        if (outcome == "not_confirmed")
            std::cout << ": the log refused the confirmation, nothing was appended; confirm again later";
        if (outcome == "undecided")
            std::cout << ": the log's answer was lost, or the record was not read back in time; "
                         "confirm the same plan again to learn the outcome";
        std::cout << "\n";
    }

    template <typename Settings>
    int reportSettings(
        const std::variant<Settings, SettingsError>& result, const std::string& file, bool isJson)
    {
        const auto* error = std::get_if<SettingsError>(&result);
        if (isJson) {
            json::object object;
            object["file"] = file;
            object["isValid"] = error == nullptr;
            if (error != nullptr) {
                object["key"] = error->key;
                object["problem"] = error->problem;
                object["fix"] = error->fix;
            }
            std::cout << json::serialize(object) << "\n";
        } else if (error != nullptr) {
            std::cerr << error->message() << "\n";
        } else {
            std::cout << file << ": valid\n";
        }
        return error == nullptr ? Done : BadInput;
    }

} // namespace

int planIntents(const CommandContext& context, const std::string& file)
{
    auto text = readInput(file);
    if (auto* error = std::get_if<SettingsError>(&text)) {
        std::cerr << error->message() << "\n";
        return BadInput;
    }
    auto request = requestOf("POST", "/operator/intents", std::move(std::get<std::string>(text)));
    return printPlanAnswer(context, context.client.sendToFirstReachable(context.site.entries, request));
}

int showPlan(const CommandContext& context, const std::string& plan)
{
    auto request = requestOf("GET", "/operator/plans/" + plan);
    // Only the entry that made the plan has it, so all entries are queried.
    NodeAnswer best = context.client.sendToFirstReachable(context.site.entries, request);
    for (const NodeAnswer& answer : context.client.sendToAll(context.site.entries, request)) {
        const auto* response = std::get_if<HttpResponse>(&answer.result);
        if (response != nullptr && response->status == 200)
            best = answer;
    }
    return printPlanAnswer(context, best);
}

int confirmPlan(const CommandContext& context, std::string plan, const std::string& planFile)
{
    std::string body;
    if (!planFile.empty()) {
        auto text = readInput(planFile);
        if (auto* error = std::get_if<SettingsError>(&text)) {
            std::cerr << error->message() << "\n";
            return BadInput;
        }
        body = std::move(std::get<std::string>(text));
    } else {
        auto request = requestOf("GET", "/operator/plans/" + plan);
        for (const NodeAnswer& answer : context.client.sendToAll(context.site.entries, request)) {
            const auto* response = std::get_if<HttpResponse>(&answer.result);
            if (response != nullptr && response->status == 200)
                body = response->body;
        }
    }
    if (plan.empty()) {
        HttpResponse wrappedText;
        wrappedText.body = body;
        plan = stringMember(bodyOf(wrappedText), "id");
    }
    auto request = requestOf("POST", "/operator/plans/" + plan + "/confirm", std::move(body));
    NodeAnswer answer = context.client.sendToFirstReachable(context.site.entries, request);
    if (std::holds_alternative<NetError>(answer.result)) {
        reportUnreachable(answer);
        return std::get<NetError>(answer.result).mayHaveArrived ? Undecided : Unreachable;
    }
    const auto& response = std::get<HttpResponse>(answer.result);
    json::value content = bodyOf(response);
    std::string outcome = stringMember(content, "outcome");
    if (outcome.empty())
        return reportError(response, context.isJson);
    if (context.isJson)
        std::cout << response.body << "\n";
    else
        printOutcome(content, outcome);
    return outcomeStatus(outcome);
}

int showHistory(const CommandContext& context)
{
    NodeAnswer answer
        = context.client.sendToFirstReachable(context.site.entries, requestOf("GET", "/operator/history"));
    if (std::holds_alternative<NetError>(answer.result))
        return reportUnreachable(answer);
    const auto& response = std::get<HttpResponse>(answer.result);
    if (response.status != 200)
        return reportError(response, context.isJson);
    if (context.isJson) {
        std::cout << response.body << "\n";
        return Done;
    }
    for (const json::value& entry : listIn(bodyOf(response), "history"))
        std::cout << "version " << numberMember(entry, "version") << " plan " << stringMember(entry, "plan")
                  << " by " << stringMember(entry, "operator") << " at " << numberMember(entry, "timeMs")
                  << ": " << stringMember(entry, "summary") << "\n";
    return Done;
}

int checkSettings(const std::string& file, bool isJson)
{
    auto text = readFile(file);
    if (std::holds_alternative<SettingsError>(text))
        return reportSettings(readEntrySettings(file), file, isJson);
    HttpResponse wrappedText;
    wrappedText.body = std::get<std::string>(text);
    json::value value = bodyOf(wrappedText);
    bool isAgent = value.is_object() && value.as_object().contains("backend");
    if (isAgent)
        return reportSettings(readAgentSettings(file), file, isJson);
    return reportSettings(readEntrySettings(file), file, isJson);
}

} // namespace peridotgrade::ctl
