// The command `status`: shows where the latest configuration version is in force, where not, and why.
#include "commands.h"
#include "output.h"

#include "peridotgrade/net/timer_driver.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iostream>
#include <vector>

namespace peridotgrade::ctl {

namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds FollowInterval { 500 };

    /// State of one process as last queried.
    struct NodeStatus {
        std::string name;
        std::uint64_t version = 0;
        /// Empty if the latest version is in force there.
        std::string problem;
    };

    struct SiteStatus {
        std::uint64_t version = 0;
        std::vector<NodeStatus> nodes;

        bool isInForce() const
        {
            return std::all_of(this->nodes.begin(), this->nodes.end(),
                [](const auto& node) { return node.problem.empty(); });
        }
    };

    std::string problemOf(const json::value& status)
    {
        if (!boolMember(status, "isReady"))
            return "has no configuration yet";
        const json::value* engine = status.as_object().if_contains("engine");
        // At version 0 no plan has been confirmed yet, so no engine has an assignment.
        bool isAssigned = engine != nullptr && numberMember(status, "version") > 0;
        if (!isAssigned || boolMember(*engine, "isInForce"))
            return {};
        std::string text = "engine waits for " + stringMember(*engine, "waitingFor");
        std::uint64_t failures = numberMember(*engine, "failures");
        return failures == 0 ? text : text + " (" + std::to_string(failures) + " failures)";
    }

    NodeStatus nodeStatusOf(const NodeAnswer& answer)
    {
        NodeStatus nodeStatus;
        nodeStatus.name = toString(answer.node);
        if (const auto* error = std::get_if<NetError>(&answer.result)) {
            nodeStatus.problem = "unreachable: " + std::string { nameOf(error->kind) };
            return nodeStatus;
        }
        json::value status = bodyOf(std::get<HttpResponse>(answer.result));
        if (!status.is_object() || !status.as_object().contains("version")) {
            nodeStatus.problem = "returned no status";
            return nodeStatus;
        }
        nodeStatus.name = stringMember(status, "node") + " (" + nodeStatus.name + ")";
        nodeStatus.version = numberMember(status, "version");
        nodeStatus.problem = problemOf(status);
        return nodeStatus;
    }

    SiteStatus collectSiteStatus(const CommandContext& context)
    {
        HttpRequest request;
        request.target = "/status";
        SiteStatus site;
        for (const NodeAnswer& answer : context.client.sendToAll(context.site.all(), request))
            site.nodes.push_back(nodeStatusOf(answer));
        for (const NodeStatus& node : site.nodes)
            site.version = std::max(site.version, node.version);
        for (NodeStatus& node : site.nodes) {
            if (node.problem.empty() && node.version < site.version)
                node.problem = "has version " + std::to_string(node.version);
        }
        return site;
    }

    void printText(const SiteStatus& site)
    {
        std::cout << "version " << site.version << " "
                  << (site.isInForce() ? "in force everywhere" : "not in force everywhere") << "\n";
        for (const NodeStatus& node : site.nodes)
            std::cout << "  " << node.name << ": " << (node.problem.empty() ? "in force" : node.problem)
                      << "\n";
        std::cout.flush();
    }

    void printJson(const SiteStatus& site)
    {
        json::array nodes;
        for (const NodeStatus& node : site.nodes) {
            json::object object;
            object["node"] = node.name;
            object["version"] = node.version;
            object["isInForce"] = node.problem.empty();
            object["problem"] = node.problem;
            nodes.push_back(std::move(object));
        }
        json::object body;
        body["version"] = site.version;
        body["isInForce"] = site.isInForce();
        body["nodes"] = std::move(nodes);
        std::cout << json::serialize(body) << "\n";
        std::cout.flush();
    }

} // namespace

int showStatus(const CommandContext& context, const StatusOptions& options)
{
    TimePoint deadline = TimerDriver::now() + options.followTimeout;
    while (true) {
        SiteStatus site = collectSiteStatus(context);
        if (context.isJson)
            printJson(site);
        else
            printText(site);
        if (site.isInForce())
            return Done;
        if (!options.shouldFollow || TimerDriver::now() >= deadline)
            return NotInForce;
        context.client.pause(FollowInterval);
    }
}

} // namespace peridotgrade::ctl
