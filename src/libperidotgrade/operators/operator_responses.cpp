// Implementation of the operators' responses.
#include "operator_responses.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    json::object outcomeOf(const Plan& plan, std::string_view outcome)
    {
        json::object object;
        object["plan"] = plan.id.raw();
        object["base"] = plan.base.raw();
        object["outcome"] = outcome;
        return object;
    }

} // namespace

HttpResponse jsonResponse(std::uint16_t status, const json::value& body)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

HttpResponse errorResponse(std::uint16_t status, const std::string& type, const std::string& message)
{
    json::object error;
    error["type"] = type;
    error["message"] = message;
    json::object body;
    body["error"] = std::move(error);
    return jsonResponse(status, body);
}

HttpResponse problemsResponse(const std::vector<ConfigError>& problems)
{
    json::array list;
    for (const ConfigError& problem : problems) {
        json::object item;
        item["type"] = nameOf(problem.kind);
        item["message"] = problem.detail;
        list.push_back(std::move(item));
    }
    json::object error;
    error["type"] = nameOf(problems.front().kind);
    error["message"] = problems.front().detail;
    error["problems"] = std::move(list);
    json::object body;
    body["error"] = std::move(error);
    return jsonResponse(422, body);
}

HttpResponse schemaResponse(const SettingsError& error)
{
    return errorResponse(400, std::string { nameOf(error.kind) }, error.message());
}

HttpResponse inForceResponse(const Plan& plan, const PlanInForce& standing)
{
    json::object body = outcomeOf(plan, "in_force");
    body["version"] = standing.version.raw();
    body["operator"] = standing.operatorName;
    body["isSuperseded"] = standing.isSupersededSince;
    return jsonResponse(200, body);
}

HttpResponse voidResponse(const Plan& plan, const PlanVoid& standing)
{
    json::object body = outcomeOf(plan, "void");
    body["versionInForce"] = standing.versionInForce.raw();
    body["confirmedInstead"] = standing.confirmedInstead;
    return jsonResponse(409, body);
}

HttpResponse forgottenResponse(const Plan& plan, const PlanForgotten& standing)
{
    json::object body = outcomeOf(plan, "forgotten");
    body["versionInForce"] = standing.versionInForce.raw();
    return jsonResponse(410, body);
}

HttpResponse unsettledResponse(const Plan& plan, bool mayBeAppended)
{
    if (!mayBeAppended)
        return jsonResponse(503, outcomeOf(plan, "not_confirmed"));
    return jsonResponse(202, outcomeOf(plan, "undecided"));
}

HttpResponse statusResponse(const ConfigurationReplica& fold, bool isLogAvailable)
{
    json::object body;
    body["version"] = fold.version().raw();
    body["digest"] = std::to_string(fold.digest());
    body["isReady"] = fold.isReady();
    body["hasGap"] = fold.hasGap();
    body["isLogAvailable"] = isLogAvailable;
    if (!fold.history().empty())
        body["plan"] = toJson(fold.history().back());
    return jsonResponse(200, body);
}

HttpResponse historyResponse(const ConfigurationReplica& fold)
{
    json::array history;
    for (const HistoryEntry& entry : fold.history())
        history.push_back(toJson(entry));
    json::object body;
    body["history"] = std::move(history);
    return jsonResponse(200, body);
}

HttpResponse configurationResponse(const ConfigurationReplica& fold)
{
    json::object body;
    body["version"] = fold.version().raw();
    body["configuration"] = toJson(fold.configuration());
    return jsonResponse(200, body);
}

} // namespace peridotgrade
