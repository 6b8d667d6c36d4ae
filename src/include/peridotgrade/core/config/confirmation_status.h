// Determines how a confirmation ended, also if the answer to its append was lost.
#pragma once

#include "peridotgrade/core/config/configuration_replica.h"
#include "peridotgrade/core/config/plan.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

/// What the confirming entry knows about its appends.
struct AppendResults {
    /// Offset of an acknowledged append.
    std::optional<LogOffset> acknowledged;
    /// True if an append got no answer and may have been stored.
    bool hasUnansweredAppend = false;
};

/// The plan took effect; `operatorName` is the operator whose confirmation was applied.
struct PlanInForce {
    ConfigVersion version;
    std::string operatorName;
    bool isSupersededSince = false;
};

/// The plan never takes effect: another plan was confirmed on its base first.
struct PlanVoid {
    ConfigVersion versionInForce;
    std::string confirmedInstead;
};

/// The base is so old that the history no longer contains the plan that took effect on it.
struct PlanForgotten {
    ConfigVersion versionInForce;
};

/// The confirmation is to be appended (again); a duplicate is harmless, since a plan takes effect at most
/// once.
struct AppendNeeded { };

/// The acknowledged append has not been read back yet.
struct ReadBackNeeded { };

using ConfirmationStatus = std::variant<PlanInForce, PlanVoid, PlanForgotten, AppendNeeded, ReadBackNeeded>;

/// State of a confirmation according to the records that `replica` has read. `PlanInForce`, `PlanVoid` and
/// `PlanForgotten` are final.
ConfirmationStatus confirmationStatusOf(
    const ConfigurationReplica& replica, const Plan& plan, const AppendResults& appends);

/// The record that confirms the plan.
PlanConfirmation confirmationOf(const Plan& plan, const std::string& operatorName);

} // namespace peridotgrade
