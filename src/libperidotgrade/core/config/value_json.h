// JSON encoding of the values in a configuration.
#pragma once

#include "peridotgrade/core/config/json_reader.h"
#include "peridotgrade/core/config/site_configuration.h"

#include <boost/json/object.hpp>

#include <variant>

namespace peridotgrade {

boost::json::object objectOf(const EngineAssignment& engine);
boost::json::object objectOf(const Workspace& workspace);
boost::json::object objectOf(const ServiceConfiguration& service);
boost::json::object objectOf(const Commitment& commitment);

std::variant<EngineAssignment, ConfigError> engineFrom(const boost::json::value& value);
std::variant<Workspace, ConfigError> workspaceFrom(const boost::json::value& value);
std::variant<ServiceConfiguration, ConfigError> serviceFrom(const boost::json::value& value);
std::variant<Commitment, ConfigError> commitmentFrom(const boost::json::value& value);

/// The value, or the reader's error if it has one.
template <typename Value> std::variant<Value, ConfigError> readResult(const JsonReader& reader, Value value)
{
    if (reader.error())
        return *reader.error();
    return value;
}

} // namespace peridotgrade
