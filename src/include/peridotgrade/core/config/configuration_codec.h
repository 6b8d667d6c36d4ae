// JSON encoding of configuration records.
#pragma once

#include "peridotgrade/core/config/config_error.h"
#include "peridotgrade/core/config/configuration_record.h"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

boost::json::value toJson(const SiteConfiguration& configuration);
boost::json::value toJson(const ConfigurationChange& change);
boost::json::value toJson(const HistoryEntry& entry);

std::variant<SiteConfiguration, ConfigError> siteConfigurationFrom(const boost::json::value& value);
std::variant<ConfigurationChange, ConfigError> configurationChangeFrom(const boost::json::value& value);

/// JSON text of a record as appended to the log; equal records give equal texts.
std::string encodeRecord(const ConfigurationRecord& record);
std::variant<ConfigurationRecord, ConfigError> decodeRecord(std::string_view text);

/// Hash of the whole configuration, used to compare two nodes at the same version.
std::uint64_t digestOf(const SiteConfiguration& configuration);

} // namespace peridotgrade
