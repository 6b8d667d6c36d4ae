// Settles how a confirmation ended, whatever happened to the answer of its append.
#pragma once

#include "peridotgrade/core/config/configuration_fold.h"
#include "peridotgrade/core/config/plan.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace peridotgrade {

/// What the confirming entry knows of its appends.
struct AppendKnowledge {
    /// Offset of an append that was acknowledged.
    std::optional<LogOffset> acknowledged;
    /// True if the answer of some append was lost.
    bool isAnyUnknown = false;
};

/// The plan took effect; `operatorName` is whose confirmation did it.
struct PlanInForce {
    ConfigVersion version;
    std::string operatorName;
    bool isSupersededSince = false;
};

/// The plan never takes effect: another was confirmed on its base first.
struct PlanVoid {
    ConfigVersion versionInForce;
    std::string confirmedInstead;
};

/// The base was in force too long ago: which plan took effect on it is not remembered any more.
struct PlanForgotten {
    ConfigVersion versionInForce;
};

/// Append the confirmation (again); doubling it does no harm, since one plan takes effect at most once.
struct AppendNeeded { };

/// The acknowledged append has not been read back yet.
struct ReadBackNeeded { };

using ConfirmStanding = std::variant<PlanInForce, PlanVoid, PlanForgotten, AppendNeeded, ReadBackNeeded>;

/// Where a confirmation stands by what `fold` has read. In force, void and forgotten are final.
ConfirmStanding standingOf(const ConfigurationFold& fold, const Plan& plan, const AppendKnowledge& appends);

/// The record that confirms the plan.
Confirmed confirmationOf(const Plan& plan, const std::string& operatorName);

} // namespace peridotgrade
