// Errors of the configuration layer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgrade {

enum class ConfigErrorKind : std::uint8_t {
    /// Not JSON, or not of the shape that is expected.
    Malformed,
    /// Of the right shape, but with a value that cannot be meant.
    InvalidValue,
    /// Two wishes that cannot both be met.
    Contradiction,
};

std::string_view nameOf(ConfigErrorKind kind);

/// What is wrong with a piece of configuration, in words for the operator.
struct ConfigError {
    ConfigErrorKind kind = ConfigErrorKind::Malformed;
    std::string detail;
};

} // namespace peridotgrade
