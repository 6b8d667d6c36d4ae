// The command `check-configuration`.
#include "commands.h"

#include "peridotgrade/core/serving/configuration_check.h"
#include "peridotgrade/core/serving/configuration_difference.h"
#include "peridotgrade/ops/settings/schema_check.h"
#include "platform/configuration_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iostream>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace peridotgrade::ctl {

namespace json = boost::json;

namespace {

    using Findings = std::vector<ConfigurationFinding>;

    void append(Findings& findings, Findings more)
    {
        findings.insert(findings.end(), std::move_iterator(more.begin()), std::move_iterator(more.end()));
    }

    /// Reads a record from a file. What the codec reports goes to `findings`.
    std::optional<RoutingConfiguration> readConfiguration(const std::string& file, Findings& findings)
    {
        auto text = readFile(file);
        if (auto* error = std::get_if<SettingsError>(&text)) {
            findings.push_back({ FindingSeverity::Error, "file " + file, "", error->message() });
            return std::nullopt;
        }
        auto parsed = parseRoutingConfiguration(std::get<std::string>(text), findings);
        if (auto* problem = std::get_if<std::string>(&parsed)) {
            findings.push_back({ FindingSeverity::Error, "file " + file, "", *problem });
            return std::nullopt;
        }
        return std::move(std::get<RoutingConfiguration>(parsed));
    }

    Findings findingsOf(const std::string& file, const std::string& inForceFile)
    {
        Findings findings;
        auto proposed = readConfiguration(file, findings);
        if (proposed)
            append(findings, checkConfiguration(*proposed));
        if (inForceFile.empty())
            return findings;
        // Only whether the version in force can be read matters, not what is wrong with it.
        Findings ofInForce;
        auto inForce = readConfiguration(inForceFile, ofInForce);
        if (!inForce)
            findings.push_back(std::move(ofInForce.back()));
        if (proposed && inForce)
            append(findings, differencesOf(*inForce, *proposed));
        return findings;
    }

    std::int64_t countOf(const Findings& findings, FindingSeverity severity)
    {
        return std::count_if(findings.begin(), findings.end(),
            [severity](const ConfigurationFinding& each) { return each.severity == severity; });
    }

    void printText(const Findings& findings)
    {
        for (const ConfigurationFinding& each : findings) {
            std::cout << nameOf(each.severity) << ": " << each.place;
            if (!each.field.empty())
                std::cout << ", " << each.field;
            std::cout << ": " << each.message << "\n";
        }
        std::cout << "errors " << countOf(findings, FindingSeverity::Error) << ", warnings "
                  << countOf(findings, FindingSeverity::Warning) << ", notes "
                  << countOf(findings, FindingSeverity::Note) << "\n";
    }

    void printJson(const Findings& findings)
    {
        json::array list;
        for (const ConfigurationFinding& each : findings)
            list.push_back(json::object { { "severity", nameOf(each.severity) }, { "place", each.place },
                { "field", each.field }, { "message", each.message } });
        std::cout << json::serialize(json::object { { "errors", countOf(findings, FindingSeverity::Error) },
            { "warnings", countOf(findings, FindingSeverity::Warning) },
            { "notes", countOf(findings, FindingSeverity::Note) }, { "findings", list } })
                  << "\n";
    }

} // namespace

int checkConfigurationFile(const std::string& file, const std::string& inForceFile, bool isJson)
{
    Findings findings = findingsOf(file, inForceFile);
    // The worst first.
    std::stable_sort(findings.begin(), findings.end(),
        [](const auto& left, const auto& right) { return left.severity > right.severity; });
    if (isJson)
        printJson(findings);
    else
        printText(findings);
    if (countOf(findings, FindingSeverity::Error) > 0)
        return BadInput;
    return countOf(findings, FindingSeverity::Warning) > 0 ? HasWarnings : Done;
}

} // namespace peridotgrade::ctl
