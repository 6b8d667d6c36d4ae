// Listing and release of quarantined requests and parts of prompts.
#include "peridotgrade/gateway/quarantine_page.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    constexpr std::uint16_t NotFound = 404;
    constexpr std::uint16_t MethodNotAllowed = 405;

    HttpResponse response(std::uint16_t status, const json::value& body)
    {
        HttpResponse result;
        result.status = status;
        result.body = json::serialize(body);
        return result;
    }

    json::array serversOf(const CrashRegistry& crashes, const Suspect& suspect)
    {
        json::array servers;
        for (const ServerCrash& crash : crashes.crashesOnRecord(suspect))
            servers.emplace_back(crash.server);
        return servers;
    }

    HttpResponse listing(const CrashRegistry& crashes, TimePoint now)
    {
        json::array quarantined;
        for (const Suspect& suspect : crashes.quarantined()) {
            auto held = std::chrono::ceil<std::chrono::seconds>(
                crashes.heldFor(suspect, now).value_or(Duration::zero()));
            quarantined.push_back(json::object { { "content", textOf(suspect) },
                { "servers", serversOf(crashes, suspect) }, { "held_s", held.count() } });
        }
        json::array probation;
        for (const Suspect& suspect : crashes.onProbation())
            probation.push_back(
                json::object { { "content", textOf(suspect) }, { "servers", serversOf(crashes, suspect) } });
        return response(200,
            json::object {
                { "quarantined", std::move(quarantined) }, { "probation", std::move(probation) } });
    }

} // namespace

HttpResponse answerQuarantinePage(const HttpRequest& request, CrashRegistry& crashes, TimePoint now)
{
    std::string_view content = request.path().substr(QuarantinePath.size());
    if (content.starts_with('/'))
        content.remove_prefix(1);
    if (request.method == "GET" && content.empty())
        return listing(crashes, now);
    if (request.method != "DELETE")
        return response(MethodNotAllowed, json::object { { "error", "use GET, or DELETE with a content" } });
    auto held = crashes.quarantined();
    auto probation = crashes.onProbation();
    held.insert(held.end(), probation.begin(), probation.end());
    auto found = std::find_if(
        held.begin(), held.end(), [&](const Suspect& each) { return textOf(each) == content; });
    if (found == held.end())
        return response(NotFound, json::object { { "error", "no such content is held" } });
    crashes.release(*found);
    return response(200, json::object { { "released", std::string { content } } });
}

} // namespace peridotgrade
