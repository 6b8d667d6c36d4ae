// Errors of the configuration layer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgrade {

enum class ConfigErrorKind : std::uint8_t {
    /// Not JSON, or JSON that does not have the expected structure.
    Malformed,
    /// Well formed, but with a value that is out of range or refers to something unknown.
    InvalidValue,
    /// Intents that cannot all be met.
    Contradiction,
};

std::string_view nameOf(ConfigErrorKind kind);

/// An error in a piece of configuration, with a message for the operator.
struct ConfigError {
    ConfigErrorKind kind = ConfigErrorKind::Malformed;
    std::string detail;
};

} // namespace peridotgrade
