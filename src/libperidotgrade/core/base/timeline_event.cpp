// Names of timeline events.
#include "peridotgrade/core/base/timeline_event.h"

#include "peridotgrade/core/base/name_table.h"

namespace peridotgrade {

namespace {

    constexpr auto EventKindNames = std::to_array<std::string_view>({
        "request_arrived",
        "request_refused",
        "request_finished",
        "request_cancelled",
        "place_asked",
        "place_granted",
        "place_refused",
        "place_released",
        "prefill_started",
        "prefill_finished",
        "prefill_wasted",
        "transfer_started",
        "decode_started",
        "first_token",
        "attempt_failed",
        "attempt_resumed",
        "stale_message_dropped",
        "session_opened",
        "session_lapsed",
        "session_refused",
        "agent_connected",
        "agent_lost",
        "engine_crashed",
        "engine_restarted",
        "orphan_freed",
        "drain_started",
        "drain_finished",
        "claim_appended",
        "claim_won",
        "claim_lost",
        "action_started",
        "action_answered",
        "action_sealed",
        "action_unknown",
        "request_suspected",
        "request_quarantined",
        "configuration_applied",
        "plan_made",
        "plan_confirmed",
        "plan_void",
        "engine_order_sent",
        "engine_order_done",
        "engine_order_failed",
        "engine_order_undone",
        "process_started",
        "process_stopping",
        "log_unavailable",
        "log_available",
    });

} // namespace

std::string_view nameOf(EventKind kind) { return nameAt(EventKindNames, kind); }

} // namespace peridotgrade
