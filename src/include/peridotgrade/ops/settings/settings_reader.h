// Reads typed values from a JSON object that satisfies its schema.
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

/// Reads fields of an object that was validated against its schema; the value of a missing field is left
/// unchanged. The schema accepts any string as an address, so an endpoint may still be invalid: check
/// `error()` after the last read.
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

    /// A reader of a nested object, or of an empty one if the key is missing.
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
