// Reads the fields of one JSON object and remembers what is wrong with it.
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

/// Gives typed fields of a JSON object. A field that is missing or of another type gives an empty value and
/// is remembered: read all fields, then ask `error()` once. The object must outlive the reader.
class JsonReader {
public:
    /// `where` names the object in errors, for example `engine`.
    JsonReader(const boost::json::value& value, std::string where);

    std::string text(std::string_view key);
    std::string textOr(std::string_view key, std::string fallback);
    std::uint64_t whole(std::string_view key);
    std::uint64_t wholeOr(std::string_view key, std::uint64_t fallback);
    std::chrono::milliseconds millisecondsOr(std::string_view key, std::chrono::milliseconds fallback);
    double number(std::string_view key);
    double numberOr(std::string_view key, double fallback);
    std::vector<std::string> texts(std::string_view key);
    /// An array; empty if it is missing.
    const boost::json::array& arrayOr(std::string_view key);
    /// Null if it is missing.
    const boost::json::value* child(std::string_view key);
    bool has(std::string_view key) const;

    /// One of a closed set of names, read by `from`.
    template <typename From> auto choice(std::string_view key, From from)
    {
        auto value = from(this->text(key));
        if (!value)
            this->fail(key, "is none of the known names");
        return value.value_or(typename decltype(value)::value_type {});
    }

    void fail(std::string_view key, std::string_view problem);
    /// The first problem, if there was one.
    const std::optional<ConfigError>& error() const { return this->firstError; }

private:
    const boost::json::object* object = nullptr;
    std::string where;
    std::optional<ConfigError> firstError;
};

} // namespace peridotgrade
