// Something in a configuration that its operator should know.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgrade {

enum class FindingSeverity : std::uint8_t {
    /// For information: a difference from the configuration in force.
    Note,
    /// Takes effect as written, and is probably not meant.
    Warning,
    /// Invalid: the field or the item does not take effect.
    Error,
};

/// `note`, `warning` or `error`.
std::string_view nameOf(FindingSeverity severity);

struct ConfigurationFinding {
    FindingSeverity severity = FindingSeverity::Error;
    /// The item, such as `route NAME`, or `routes[2]` if it has no name.
    std::string place;
    /// Name of the field in the record; empty for the item as a whole.
    std::string field;
    /// Never has a key.
    std::string message;
};

} // namespace peridotgrade
