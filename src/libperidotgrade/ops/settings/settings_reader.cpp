// Typed reads of JSON fields, including addresses.
#include "peridotgrade/ops/settings/settings_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace peridotgrade {

namespace json = boost::json;

SettingsReader::SettingsReader(const json::object& object, std::string file)
    : object(&object)
    , file(std::move(file))
{
}

const json::value* SettingsReader::find(std::string_view key) const { return this->object->if_contains(key); }

void SettingsReader::read(std::string_view key, std::string& value)
{
    if (const json::value* found = this->find(key))
        value = std::string { found->as_string() };
}

void SettingsReader::read(std::string_view key, std::uint64_t& value)
{
    boost::system::error_code ignored;
    if (const json::value* found = this->find(key))
        value = found->to_number<std::uint64_t>(ignored);
}

void SettingsReader::read(std::string_view key, std::uint32_t& value)
{
    std::uint64_t wide = value;
    this->read(key, wide);
    value = static_cast<std::uint32_t>(wide);
}

void SettingsReader::read(std::string_view key, bool& value)
{
    if (const json::value* found = this->find(key))
        value = found->as_bool();
}

void SettingsReader::read(std::string_view key, std::chrono::milliseconds& value)
{
    std::uint64_t count = static_cast<std::uint64_t>(value.count());
    this->read(key, count);
    value = std::chrono::milliseconds { static_cast<std::int64_t>(count) };
}

std::optional<Endpoint> SettingsReader::endpointFrom(std::string_view key, const json::value& value)
{
    auto endpoint = parseEndpoint(std::string_view { value.as_string() });
    if (endpoint || this->firstError)
        return endpoint;
    SettingsError error;
    error.kind = SettingsErrorKind::BadValue;
    error.file = this->file;
    error.key = std::string { key };
    error.problem = "\"" + std::string { value.as_string() } + "\" is not an address";
    error.fix = "give an IP address and a port, such as 10.1.0.4:8080";
    this->firstError = std::move(error);
    return std::nullopt;
}

void SettingsReader::read(std::string_view key, Endpoint& value)
{
    const json::value* found = this->find(key);
    if (found == nullptr)
        return;
    if (auto endpoint = this->endpointFrom(key, *found))
        value = std::move(*endpoint);
}

void SettingsReader::read(std::string_view key, std::vector<Endpoint>& value)
{
    const json::value* found = this->find(key);
    if (found == nullptr)
        return;
    for (const json::value& each : found->as_array()) {
        if (auto endpoint = this->endpointFrom(key, each))
            value.push_back(std::move(*endpoint));
    }
}

SettingsReader SettingsReader::inner(std::string_view key) const
{
    static const json::object Empty;
    const json::value* found = this->find(key);
    return SettingsReader(found == nullptr ? Empty : found->as_object(), this->file);
}

NodeSettings SettingsReader::node()
{
    NodeSettings node;
    std::string dataCentre;
    this->read("nodeName", node.name);
    this->read("dataCentre", dataCentre);
    node.dataCentre = DataCentreId { std::move(dataCentre) };
    this->read("peerListen", node.peerListen);
    this->read("adminListen", node.adminListen);
    this->read("platform", node.platform);
    this->read("peers", node.peers);
    this->read("logLevel", node.logLevel);
    this->read("shards", node.shards);
    this->read("threads", node.threads);
    return node;
}

} // namespace peridotgrade
