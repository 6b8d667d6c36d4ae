// Hashes of callers' and operators' keys.
#pragma once

#include <string>
#include <string_view>

namespace peridotgrade {

/// SHA-256 of a key in hexadecimal, the form in which settings and configuration store keys.
std::string keySha256(std::string_view key);

} // namespace peridotgrade
