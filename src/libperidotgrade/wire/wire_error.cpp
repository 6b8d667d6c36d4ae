// Names of the codec's errors.
#include "peridotgrade/wire/wire_error.h"

#include "peridotgrade/core/base/name_table.h"

namespace peridotgrade {

std::string_view nameOf(WireErrorKind kind)
{
    static constexpr std::array<std::string_view, 3> Names { "malformed", "too_large", "unknown" };
    return nameAt(Names, kind);
}

} // namespace peridotgrade
