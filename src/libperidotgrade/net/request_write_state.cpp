// Names of the states of a request that is being written.
#include "peridotgrade/net/request_write_state.h"

#include "peridotgrade/core/base/name_table.h"

#include <array>

namespace peridotgrade {

std::string_view nameOf(RequestWriteState state)
{
    constexpr std::array<std::string_view, 3> Names { "in_progress", "written", "failed" };
    return nameAt(Names, state);
}

} // namespace peridotgrade
