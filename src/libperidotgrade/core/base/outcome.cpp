// Names of outcomes and refusal reasons.
#include "peridotgrade/core/base/outcome.h"

#include "peridotgrade/core/base/name_table.h"

namespace peridotgrade {

namespace {

    constexpr auto OutcomeNames = std::to_array<std::string_view>({
        "answered",
        "not-run",
        "unknown",
    });

    constexpr auto RefusalReasonNames = std::to_array<std::string_view>({
        "workspace_limit",
        "no_capacity",
        "deadline_unreachable",
        "model_not_served",
        "quarantined",
        "retry_budget_spent",
        "backend_lost",
        "log_unavailable",
        "key_too_old",
        "key_from_future",
        "key_conflict",
        "result_not_kept",
        "shutting_down",
        "not_ready",
        "caller_gone",
    });

} // namespace

std::string_view nameOf(Outcome outcome) { return nameAt(OutcomeNames, outcome); }

std::string_view nameOf(RefusalReason reason) { return nameAt(RefusalReasonNames, reason); }

} // namespace peridotgrade
