// Names of body framings.
#include "peridotgrade/net/body_framing.h"

#include "peridotgrade/core/base/name_table.h"

#include <array>

namespace peridotgrade {

std::string_view nameOf(BodyFraming framing)
{
    constexpr std::array<std::string_view, 3> Names { "length", "chunked", "connection_end" };
    return nameAt(Names, framing);
}

} // namespace peridotgrade
