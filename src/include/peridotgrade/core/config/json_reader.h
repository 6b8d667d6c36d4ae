// Reads typed fields of a JSON object and keeps the first error.
#pragma once

#include "peridotgrade/core/config/config_error.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// Reads typed fields of a JSON object. A field that is missing or has the wrong type yields an empty value
/// and sets `error()`, which callers check once after reading all fields. The object must outlive the reader.
class JsonReader {
public:
    /// `objectName` names the object in error messages, for example `engine`.
    JsonReader(const boost::json::value& value, std::string objectName);

    std::string text(std::string_view key);
    std::string textOr(std::string_view key, std::string fallback);
    std::uint64_t integer(std::string_view key);
    std::uint64_t integerOr(std::string_view key, std::uint64_t fallback);
    std::chrono::milliseconds millisecondsOr(std::string_view key, std::chrono::milliseconds fallback);
    double number(std::string_view key);
    double numberOr(std::string_view key, double fallback);
    std::vector<std::string> texts(std::string_view key);
    /// The array, or an empty one if the field is missing.
    const boost::json::array& arrayOr(std::string_view key);
    /// Null if the field is missing.
    const boost::json::value* child(std::string_view key);
    bool has(std::string_view key) const;

    /// A value from a closed set of names, converted by `from`.
    template <typename From> auto choice(std::string_view key, From from)
    {
        auto value = from(this->text(key));
        if (!value)
            this->fail(key, "is none of the known names");
        return value.value_or(typename decltype(value)::value_type {});
    }

    void fail(std::string_view key, std::string_view problem);
    /// The first error, if any.
    const std::optional<ConfigError>& error() const { return this->firstError; }

private:
    const boost::json::object* object = nullptr;
    std::string objectName;
    std::optional<ConfigError> firstError;
};

} // namespace peridotgrade
