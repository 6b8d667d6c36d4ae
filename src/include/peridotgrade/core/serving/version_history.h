// The software versions of a service's servers over time.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_record.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace peridotgrade {

/// Tells whether servers of several software versions may have begun the streams that callers can still
/// resume. A version counts until its last server has been gone for `Memory`. Not thread safe.
class VersionHistory {
public:
    /// As long as callers resume a stream.
    static constexpr std::chrono::seconds Memory { 30 };

    /// Sets the versions that serve now.
    void update(const std::set<SoftwareVersion>& serving, TimePoint now);
    /// How long the versions have been observed.
    Duration observedFor(TimePoint now) const { return this->since ? now - *this->since : Duration::zero(); }
    /// The versions that count, with commas between them; for logs.
    std::string text(TimePoint now) const;
    /// True if more than one version counts.
    bool isMixed(TimePoint now) const;
    /// The version, if exactly one counts.
    std::optional<SoftwareVersion> onlyVersion(TimePoint now) const;

private:
    /// The first update; nothing before.
    std::optional<TimePoint> since;
    /// For each version, when it was last seen to stop serving; nothing while it serves.
    std::map<SoftwareVersion, std::optional<TimePoint>> versions;
};

} // namespace peridotgrade
