// Names of enumerators, looked up by position.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace peridotgrade {

/// The name of `enumerator` in a table that lists all names in order of declaration. A position beyond its
/// end, which a value read from the wire may have, gives `invalid`.
template <std::size_t Size, typename Enum>
std::string_view nameAt(const std::array<std::string_view, Size>& names, Enum enumerator)
{
    auto index = static_cast<std::size_t>(enumerator);
    return index < Size ? names[index] : std::string_view { "invalid" };
}

} // namespace peridotgrade
