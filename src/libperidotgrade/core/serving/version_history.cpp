// Bookkeeping of software versions.
#include "peridotgrade/core/serving/version_history.h"

#include <algorithm>

namespace peridotgrade {

void VersionHistory::update(const std::set<SoftwareVersion>& serving, TimePoint now)
{
    if (!this->since)
        this->since = now;
    std::erase_if(
        this->versions, [&](const auto& each) { return each.second && *each.second + Memory <= now; });
    for (auto& [version, goneAt] : this->versions) {
        if (!serving.contains(version) && !goneAt)
            goneAt = now;
    }
    for (const SoftwareVersion& version : serving)
        this->versions[version].reset();
}

std::string VersionHistory::text(TimePoint now) const
{
    std::string text;
    for (const auto& [version, goneAt] : this->versions) {
        if (!goneAt || now < *goneAt + Memory)
            text += (text.empty() ? "" : ",") + version.raw();
    }
    return text;
}

bool VersionHistory::isMixed(TimePoint now) const
{
    auto count = std::count_if(this->versions.begin(), this->versions.end(),
        [&](const auto& each) { return !each.second || now < *each.second + Memory; });
    return count > 1;
}

std::optional<SoftwareVersion> VersionHistory::onlyVersion(TimePoint now) const
{
    if (this->isMixed(now))
        return std::nullopt;
    for (const auto& [version, goneAt] : this->versions) {
        if (!goneAt || now < *goneAt + Memory)
            return version;
    }
    return std::nullopt;
}

} // namespace peridotgrade
