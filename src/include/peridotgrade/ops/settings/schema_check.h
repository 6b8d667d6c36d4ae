// Checks a JSON text against a JSON Schema and says in the operator's words what is wrong.
#pragma once

#include "peridotgrade/ops/settings/settings_error.h"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

/// The file's text; the error names the file.
std::variant<std::string, SettingsError> readFile(const std::string& path);

/// The parsed object if it satisfies the schema.
std::variant<boost::json::object, SettingsError> parseChecked(
    const std::string& text, const std::string& file, std::string_view schema);

} // namespace peridotgrade
