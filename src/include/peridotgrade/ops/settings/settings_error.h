// Errors of settings files, and the exit statuses that programs return for them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgrade {

/// Exit statuses of the daemons; also those of `--check-settings`.
namespace exit_status {
    constexpr int Success = 0;
    constexpr int Failure = 1;
    constexpr int BadSettings = 2;
    constexpr int AddressInUse = 3;
} // namespace exit_status

enum class SettingsErrorKind : std::uint8_t { Unreadable, NotJson, UnknownKey, MissingKey, BadValue };

std::string_view nameOf(SettingsErrorKind kind);

/// What is wrong in a settings file, where, and what to write instead.
struct SettingsError {
    SettingsErrorKind kind = SettingsErrorKind::Unreadable;
    std::string file;
    /// Path of the key, for example `targets.firstTokenMs`; empty if the error concerns the whole file.
    std::string key;
    std::string problem;
    std::string fix;

    /// One line for the operator: file, key, problem and fix.
    std::string message() const;
};

} // namespace peridotgrade
