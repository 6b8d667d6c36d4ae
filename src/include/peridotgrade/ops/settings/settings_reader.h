// Reads typed values out of an object that satisfies its schema.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/ops/settings/node_settings.h"
#include "peridotgrade/ops/settings/settings_error.h"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// Gives the fields of an object that was checked against its schema; what is missing keeps its default. The
/// schema cannot tell an address from a text, so endpoints may still be wrong: ask `error()` at the end.
class SettingsReader {
public:
    SettingsReader(const boost::json::object& object, std::string file);

    void read(std::string_view key, std::string& value);
    void read(std::string_view key, std::uint32_t& value);
    void read(std::string_view key, std::uint64_t& value);
    void read(std::string_view key, bool& value);
    void read(std::string_view key, std::chrono::milliseconds& value);
    void read(std::string_view key, Endpoint& value);
    void read(std::string_view key, std::vector<Endpoint>& value);

    /// A reader of an inner object; of an empty one if it is missing.
    SettingsReader inner(std::string_view key) const;
    const boost::json::object& fields() const { return *this->object; }

    NodeSettings node();
    const std::optional<SettingsError>& error() const { return this->firstError; }

private:
    const boost::json::value* find(std::string_view key) const;
    std::optional<Endpoint> endpointFrom(std::string_view key, const boost::json::value& value);

    const boost::json::object* object;
    std::string file;
    std::optional<SettingsError> firstError;
};

} // namespace peridotgrade
