// Names of the messages' enumerators.
#include "peridotgrade/core/base/name_table.h"
#include "peridotgrade/core/messages/messages.h"

namespace peridotgrade {

namespace {

    constexpr auto AttemptFailureNames = std::to_array<std::string_view>({
        "engine_died",
        "engine_error",
        "transfer_stalled",
        "kv_gone",
        "no_place_held",
        "too_late",
        "draining",
        "session_lost",
        "connection_lost",
        "suspect_present",
    });

    constexpr auto ActionStateNames = std::to_array<std::string_view>({
        "sealed",
        "running",
        "answered",
        "lost",
        "forgotten",
        "absent",
        "wrong_incarnation",
        "refused_unstarted",
    });

} // namespace

std::string_view nameOf(AttemptFailure failure) { return nameAt(AttemptFailureNames, failure); }

std::string_view nameOf(ActionState state) { return nameAt(ActionStateNames, state); }

} // namespace peridotgrade
