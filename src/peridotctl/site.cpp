// Reads and checks the site file.
#include "site.h"

#include "peridotgrade/ops/settings/schema_check.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <optional>

namespace peridotgrade::ctl {

namespace {

    constexpr std::string_view Schema = R"json({
  "type": "object", "additionalProperties": false, "required": ["entries"],
  "properties": {
    "entries": { "type": "array", "minItems": 1, "items": { "type": "string" },
      "description": "admin addresses of entries, as a list of ip:port" },
    "agents": { "type": "array", "items": { "type": "string" },
      "description": "admin addresses of agents, as a list of ip:port" }
  }
})json";

    std::optional<SettingsError> readEndpoints(const boost::json::object& object, std::string_view key,
        const std::string& file, std::vector<Endpoint>& endpoints)
    {
        const boost::json::value* list = object.if_contains(key);
        if (list == nullptr)
            return std::nullopt;
        for (const boost::json::value& each : list->as_array()) {
            auto endpoint = parseEndpoint(std::string_view { each.as_string() });
            if (endpoint) {
                endpoints.push_back(std::move(*endpoint));
                continue;
            }
            SettingsError error;
            error.kind = SettingsErrorKind::BadValue;
            error.file = file;
            error.key = std::string { key };
            error.problem = "\"" + std::string { each.as_string() } + "\" is not an address";
            error.fix = "give an IP address and a port, such as 10.1.0.4:9001";
            return error;
        }
        return std::nullopt;
    }

} // namespace

std::vector<Endpoint> Site::all() const
{
    std::vector<Endpoint> result = this->entries;
    result.insert(result.end(), this->agents.begin(), this->agents.end());
    return result;
}

std::variant<Site, SettingsError> readSite(const std::string& path)
{
    auto text = readFile(path);
    if (auto* error = std::get_if<SettingsError>(&text))
        return std::move(*error);
    auto checked = parseChecked(std::get<std::string>(text), path, Schema);
    if (auto* error = std::get_if<SettingsError>(&checked))
        return std::move(*error);
    const auto& object = std::get<boost::json::object>(checked);
    Site site;
    auto error = readEndpoints(object, "entries", path, site.entries);
    if (!error)
        error = readEndpoints(object, "agents", path, site.agents);
    if (error)
        return std::move(*error);
    return site;
}

} // namespace peridotgrade::ctl
