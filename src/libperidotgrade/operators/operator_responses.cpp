// JSON bodies and HTTP statuses of the operator API.
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

HttpResponse inForceResponse(const Plan& plan, const PlanInForce& status)
{
    json::object body = outcomeOf(plan, "in_force");
    body["version"] = status.version.raw();
    body["operator"] = status.operatorName;
    body["isSuperseded"] = status.isSupersededSince;
    return jsonResponse(200, body);
}

HttpResponse voidResponse(const Plan& plan, const PlanVoid& status)
{
    json::object body = outcomeOf(plan, "void");
    body["versionInForce"] = status.versionInForce.raw();
    body["confirmedInstead"] = status.confirmedInstead;
    return jsonResponse(409, body);
}

HttpResponse forgottenResponse(const Plan& plan, const PlanForgotten& status)
{
    json::object body = outcomeOf(plan, "forgotten");
    body["versionInForce"] = status.versionInForce.raw();
    return jsonResponse(410, body);
}

HttpResponse timeoutResponse(const Plan& plan, bool mayBeAppended)
{
    if (!mayBeAppended)
        return jsonResponse(503, outcomeOf(plan, "not_confirmed"));
    return jsonResponse(202, outcomeOf(plan, "undecided"));
}

HttpResponse statusResponse(const ConfigurationReplica& replica, bool isLogAvailable)
{
    json::object body;
    body["version"] = replica.version().raw();
    body["digest"] = std::to_string(replica.digest());
    body["isReady"] = replica.isReady();
    body["hasGap"] = replica.hasGap();
    body["isLogAvailable"] = isLogAvailable;
    if (!replica.history().empty())
        body["plan"] = toJson(replica.history().back());
    return jsonResponse(200, body);
}

HttpResponse historyResponse(const ConfigurationReplica& replica)
{
    json::array history;
    for (const HistoryEntry& entry : replica.history())
        history.push_back(toJson(entry));
    json::object body;
    body["history"] = std::move(history);
    return jsonResponse(200, body);
}

HttpResponse configurationResponse(const ConfigurationReplica& replica)
{
    json::object body;
    body["version"] = replica.version().raw();
    body["configuration"] = toJson(replica.configuration());
    return jsonResponse(200, body);
}

} // namespace peridotgrade
