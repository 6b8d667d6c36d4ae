// Records of the configuration's stream in the platform's log.
#pragma once

#include "peridotgrade/core/config/configuration_change.h"

#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// Name of a plan: a hash of its base version and content, in hexadecimal. Two equal plans made on the same
/// version have the same id, so that confirming one twice is confirming the same thing.
using PlanId = StrongId<struct PlanIdTag, std::string>;

/// An operator's confirmation. Void unless `base` is the version in force at the record's place in the log;
/// since a version is never in force again once left, one plan takes effect at most once.
struct Confirmed {
    PlanId plan;
    ConfigVersion base;
    std::string operatorName;
    std::vector<ConfigurationChange> changes;
    /// Sentences for the history.
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

/// The fold of all records before offset `through`. A reader may start from it only if it has seen, or will
/// see, every record from `through` on.
struct Snapshot {
    ConfigVersion version;
    LogOffset through;
    SiteConfiguration configuration;
    /// The latest plans in force, oldest first.
    std::vector<HistoryEntry> history;
};

using ConfigurationRecord = std::variant<Confirmed, Snapshot>;

} // namespace peridotgrade
