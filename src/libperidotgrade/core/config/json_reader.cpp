// Checks types and presence of JSON fields.
#include "peridotgrade/core/config/json_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <utility>

namespace peridotgrade {

namespace json = boost::json;

JsonReader::JsonReader(const json::value& value, std::string objectName)
    : objectName(std::move(objectName))
{
    if (value.is_object())
        this->object = &value.as_object();
    else
        this->firstError
            = ConfigError { ConfigErrorKind::Malformed, this->objectName + " is not a JSON object" };
}

const json::value* JsonReader::child(std::string_view key)
{
    return this->object == nullptr ? nullptr : this->object->if_contains(key);
}

bool JsonReader::has(std::string_view key) const
{
    return this->object != nullptr && this->object->contains(key);
}

void JsonReader::fail(std::string_view key, std::string_view problem)
{
    if (this->firstError)
        return;
    std::string detail = this->objectName + ": \"" + std::string { key } + "\" " + std::string { problem };
    this->firstError = ConfigError { ConfigErrorKind::Malformed, std::move(detail) };
}

std::string JsonReader::text(std::string_view key)
{
    const json::value* value = this->child(key);
    if (value == nullptr || !value->is_string()) {
        this->fail(key, "is missing or not a text");
        return {};
    }
    return std::string { value->as_string() };
}

std::string JsonReader::textOr(std::string_view key, std::string fallback)
{
    return this->has(key) ? this->text(key) : std::move(fallback);
}

std::uint64_t JsonReader::integer(std::string_view key)
{
    const json::value* value = this->child(key);
    boost::system::error_code error;
    std::uint64_t number = 0;
    if (value != nullptr && value->is_number())
        number = value->to_number<std::uint64_t>(error);
    if (value == nullptr || !value->is_number() || error) {
        this->fail(key, "is missing or not a whole number");
        return 0;
    }
    return number;
}

std::uint64_t JsonReader::integerOr(std::string_view key, std::uint64_t fallback)
{
    return this->has(key) ? this->integer(key) : fallback;
}

std::chrono::milliseconds JsonReader::millisecondsOr(std::string_view key, std::chrono::milliseconds fallback)
{
    if (!this->has(key))
        return fallback;
    return std::chrono::milliseconds { static_cast<std::int64_t>(this->integer(key)) };
}

double JsonReader::number(std::string_view key)
{
    const json::value* value = this->child(key);
    if (value == nullptr || !value->is_number()) {
        this->fail(key, "is missing or not a number");
        return 0;
    }
    boost::system::error_code ignored;
    return value->to_number<double>(ignored);
}

double JsonReader::numberOr(std::string_view key, double fallback)
{
    return this->has(key) ? this->number(key) : fallback;
}

const json::array& JsonReader::arrayOr(std::string_view key)
{
    static const json::array Empty;
    const json::value* value = this->child(key);
    if (value == nullptr)
        return Empty;
    if (!value->is_array()) {
        this->fail(key, "is not an array");
        return Empty;
    }
    return value->as_array();
}

std::vector<std::string> JsonReader::texts(std::string_view key)
{
    std::vector<std::string> result;
    for (const json::value& value : this->arrayOr(key)) {
        if (!value.is_string()) {
            this->fail(key, "holds something that is not a text");
            return {};
        }
        result.emplace_back(value.as_string());
    }
    return result;
}

} // namespace peridotgrade
