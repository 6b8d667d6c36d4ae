// Validates JSON text against a JSON Schema. Errors name the key, the problem and a fix, for operators.
#pragma once

#include "peridotgrade/ops/settings/settings_error.h"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

/// Returns the file's text, or an error that names the file.
std::variant<std::string, SettingsError> readFile(const std::string& path);

/// Returns the parsed object if it satisfies the schema, else an error that names `file`.
std::variant<boost::json::object, SettingsError> parseChecked(
    const std::string& text, const std::string& file, std::string_view schema);

} // namespace peridotgrade
