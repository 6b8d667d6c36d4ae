// Validates with valijson and turns its errors into settings errors.
#include "peridotgrade/ops/settings/schema_check.h"

#include <boost/json.hpp>
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <fstream>
#include <optional>
#include <sstream>
#include <vector>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    using Path = std::vector<std::string>;

    bool isIndex(const std::string& segment) { return segment.starts_with('['); }

    /// valijson writes the segments of a path as `<root>`, `[key]` or `[0]`; a `Path` has keys without
    /// brackets.
    Path pathFrom(const std::vector<std::string>& context)
    {
        Path path;
        for (const std::string& segment : context) {
            if (segment == "<root>" || segment.size() < 3)
                continue;
            std::string inner = segment.substr(1, segment.size() - 2);
            bool isNumber = inner.find_first_not_of("0123456789") == std::string::npos;
            path.push_back(isNumber ? segment : inner);
        }
        return path;
    }

    std::string toString(const Path& path)
    {
        std::string text;
        for (const std::string& segment : path) {
            if (!text.empty() && !isIndex(segment))
                text += '.';
            text += segment;
        }
        return text;
    }

    const json::object* childObject(const json::object* parent, std::string_view key)
    {
        const json::value* value = parent == nullptr ? nullptr : parent->if_contains(key);
        return value != nullptr && value->is_object() ? &value->as_object() : nullptr;
    }

    /// The part of the schema that describes the value at `path`, or null.
    const json::object* schemaAt(const json::object& schema, const Path& path)
    {
        const json::object* at = &schema;
        for (const std::string& segment : path) {
            at = isIndex(segment) ? childObject(at, "items")
                                  : childObject(childObject(at, "properties"), segment);
        }
        return at;
    }

    std::string knownKeys(const json::object* schema)
    {
        std::string text;
        const json::object* properties = childObject(schema, "properties");
        if (properties == nullptr)
            return text;
        for (const auto& property : *properties)
            text += (text.empty() ? "" : ", ") + std::string { property.key() };
        return text;
    }

    std::string descriptionOf(const json::object* schema)
    {
        const json::value* description = schema == nullptr ? nullptr : schema->if_contains("description");
        if (description == nullptr || !description->is_string())
            return {};
        return "give " + std::string { description->as_string() };
    }

    const json::object* valueAt(const json::object& root, const Path& path)
    {
        const json::value* at = nullptr;
        const json::object* object = &root;
        for (const std::string& segment : path) {
            if (isIndex(segment)) {
                auto index = std::stoul(segment.substr(1));
                at = at != nullptr && at->is_array() ? at->as_array().if_contains(index) : nullptr;
            } else {
                at = object == nullptr ? nullptr : object->if_contains(segment);
            }
            object = at != nullptr && at->is_object() ? &at->as_object() : nullptr;
        }
        return object;
    }

    /// The error for a key of the object at `path` that the schema does not define, if there is one.
    std::optional<SettingsError> unknownKeyAt(
        const json::object& root, const json::object& schema, const Path& path)
    {
        const json::object* object = valueAt(root, path);
        const json::object* properties = childObject(schemaAt(schema, path), "properties");
        if (object == nullptr || properties == nullptr)
            return std::nullopt;
        for (const auto& member : *object) {
            if (properties->contains(member.key()))
                continue;
            Path full = path;
            full.emplace_back(member.key());
            SettingsError error;
            error.kind = SettingsErrorKind::UnknownKey;
            error.key = toString(full);
            error.problem = "is not known";
            error.fix = "remove it, or use one of: " + knownKeys(schemaAt(schema, path));
            return error;
        }
        return std::nullopt;
    }

    /// The error for a required key that is missing in the object at `path`, if there is one.
    std::optional<SettingsError> missingKeyAt(
        const json::object& root, const json::object& schema, const Path& path)
    {
        const json::object* object = valueAt(root, path);
        const json::object* part = schemaAt(schema, path);
        const json::value* required = part == nullptr ? nullptr : part->if_contains("required");
        if (object == nullptr || required == nullptr || !required->is_array())
            return std::nullopt;
        for (const json::value& key : required->as_array()) {
            if (object->contains(key.as_string()))
                continue;
            Path full = path;
            full.emplace_back(key.as_string());
            SettingsError error;
            error.kind = SettingsErrorKind::MissingKey;
            error.key = toString(full);
            error.problem = "is missing";
            error.fix = descriptionOf(schemaAt(schema, full));
            return error;
        }
        return std::nullopt;
    }

    SettingsError errorAt(const json::object& root, const json::object& schema, const Path& path,
        const std::string& description)
    {
        if (auto unknown = unknownKeyAt(root, schema, path))
            return *unknown;
        if (auto missing = missingKeyAt(root, schema, path))
            return *missing;
        SettingsError error;
        error.kind = SettingsErrorKind::BadValue;
        error.key = toString(path);
        error.problem = "has a value that does not fit: " + description;
        error.fix = descriptionOf(schemaAt(schema, path));
        return error;
    }

    /// The error with the longest path: errors of outer values only repeat that an inner value is invalid.
    SettingsError deepestError(
        valijson::ValidationResults& results, const json::object& root, const json::object& schema)
    {
        Path deepest;
        std::string description;
        valijson::ValidationResults::Error each;
        while (results.popError(each)) {
            Path path = pathFrom(each.context);
            if (!description.empty() && path.size() <= deepest.size())
                continue;
            deepest = std::move(path);
            description = each.description;
        }
        return errorAt(root, schema, deepest, description);
    }

} // namespace

std::variant<std::string, SettingsError> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (file)
        text << file.rdbuf();
    if (!file) {
        SettingsError error;
        error.file = path;
        error.problem = "cannot be read";
        error.fix = "check the path and its permissions";
        return error;
    }
    return text.str();
}

std::variant<json::object, SettingsError> parseChecked(
    const std::string& text, const std::string& file, std::string_view schemaText)
{
    boost::system::error_code failure;
    json::value value = json::parse(text, failure);
    SettingsError error;
    error.kind = SettingsErrorKind::NotJson;
    error.file = file;
    error.problem = "is not a JSON object";
    error.fix = "see the samples folder for files to start from";
    if (failure)
        error.problem += " (" + failure.message() + ")";
    if (failure || !value.is_object())
        return error;
    json::value schemaValue = json::parse(schemaText);
    valijson::Schema schema;
    valijson::SchemaParser parser;
    valijson::adapters::BoostJsonAdapter schemaAdapter(schemaValue);
    parser.populateSchema(schemaAdapter, schema);
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::adapters::BoostJsonAdapter target(value);
    valijson::ValidationResults results;
    if (validator.validate(schema, target, &results))
        return std::move(value.as_object());
    error = deepestError(results, value.as_object(), schemaValue.as_object());
    error.file = file;
    return error;
}

} // namespace peridotgrade
