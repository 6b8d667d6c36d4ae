// Records of the configuration stream in the platform's log.
#pragma once

#include "peridotgrade/core/config/configuration_change.h"

#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// Identifies a plan: a hash of its base version and content, in hexadecimal. Two equal plans made on the
/// same version have the same id, so that confirming a plan twice is idempotent.
using PlanId = StrongId<struct PlanIdTag, std::string>;

/// An operator's confirmation of a plan. Void unless `base` is the version in force at the record's offset;
/// since a version never returns once it is superseded, a plan takes effect at most once.
struct PlanConfirmation {
    PlanId plan;
    ConfigVersion base;
    std::string operatorName;
    std::vector<ConfigurationChange> changes;
    /// Description for the history.
    std::string summary;
};

/// One plan that took effect.
struct HistoryEntry {
    ConfigVersion version;
    ConfigVersion base;
    PlanId plan;
    std::string operatorName;
    std::string summary;
    WallTime confirmedAt;

    friend bool operator==(const HistoryEntry&, const HistoryEntry&) = default;
};

/// The state after all records before offset `through`. A reader may start from it only if it has read, or
/// will read, every record from `through` on.
struct Snapshot {
    ConfigVersion version;
    LogOffset through;
    SiteConfiguration configuration;
    /// The latest plans that took effect, oldest first.
    std::vector<HistoryEntry> history;
};

using ConfigurationRecord = std::variant<PlanConfirmation, Snapshot>;

} // namespace peridotgrade
