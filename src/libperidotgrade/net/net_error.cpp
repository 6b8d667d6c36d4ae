// Names of network errors.
#include "peridotgrade/net/net_error.h"

#include "peridotgrade/core/base/name_table.h"

namespace peridotgrade {

namespace {
    constexpr auto Names = std::to_array<std::string_view>({ "cannot_listen", "connect_failed",
        "connect_refused", "closed", "timed_out", "too_large", "no_memory", "malformed" });
} // namespace

std::string_view nameOf(NetErrorKind kind) { return nameAt(Names, kind); }

} // namespace peridotgrade
