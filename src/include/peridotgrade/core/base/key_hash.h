// Hashes of callers' and operators' keys.
#pragma once

#include <string>
#include <string_view>

namespace peridotgrade {

/// SHA-256 of a key in hexadecimal, the form in which settings and configuration store keys.
std::string keySha256(std::string_view key);

/// Compares two hashes. The time depends on their lengths only.
bool isSameKeyHash(std::string_view left, std::string_view right);

/// The first eight digits of a key's hash: names the key in logs and reports without giving it away.
std::string shortKeyHash(std::string_view key);

} // namespace peridotgrade
