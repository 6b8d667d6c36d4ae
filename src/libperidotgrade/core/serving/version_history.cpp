// Bookkeeping of software versions.
#include "peridotgrade/core/serving/version_history.h"

#include <algorithm>

namespace peridotgrade {

void VersionHistory::forgetOld(TimePoint now)
{
    std::erase_if(this->versions, [now](const auto& each) { return !each.second.countsAt(now); });
}

void VersionHistory::update(const std::set<SoftwareVersion>& listed, TimePoint now)
{
    bool isFirst = !this->since;
    if (isFirst)
        this->since = now;
    this->forgetOld(now);
    for (auto& [name, version] : this->versions) {
        if (!listed.contains(name) && !version.goneAt)
            version.goneAt = now;
    }
    for (const SoftwareVersion& name : listed) {
        auto [found, isNew] = this->versions.try_emplace(name);
        Version& version = found->second;
        if (version.goneAt && !isFirst)
            version.isRecorded
                = version.isRecorded && version.wasListed && now <= *version.goneAt + MaxAbsence;
        if (isNew || version.goneAt)
            version.listedSince = now;
        version.goneAt.reset();
        version.wasListed = true;
    }
}

void VersionHistory::setRecorded(const std::set<SoftwareVersion>& recorded, TimePoint now)
{
    this->forgetOld(now);
    for (auto& [name, version] : this->versions)
        version.isRecorded = false;
    for (const SoftwareVersion& name : recorded)
        this->noteRecorded(name, now);
}

void VersionHistory::noteRecorded(const SoftwareVersion& version, TimePoint now)
{
    auto [found, isNew] = this->versions.try_emplace(version);
    if (isNew)
        found->second.goneAt = now;
    found->second.isRecorded = true;
}

bool VersionHistory::isRecorded(const SoftwareVersion& version) const
{
    auto found = this->versions.find(version);
    return found != this->versions.end() && found->second.isRecorded;
}

std::vector<SoftwareVersion> VersionHistory::recorded() const
{
    std::vector<SoftwareVersion> names;
    for (const auto& [name, version] : this->versions) {
        if (version.isRecorded)
            names.push_back(name);
    }
    return names;
}

std::vector<SoftwareVersion> VersionHistory::unrecorded() const
{
    std::vector<SoftwareVersion> names;
    for (const auto& [name, version] : this->versions) {
        if (!version.goneAt && !version.isRecorded)
            names.push_back(name);
    }
    return names;
}

std::vector<SoftwareVersion> VersionHistory::settled(TimePoint now) const
{
    std::vector<SoftwareVersion> names = this->unrecorded();
    std::erase_if(names,
        [&](const SoftwareVersion& name) { return now < this->versions.at(name).listedSince + SettleTime; });
    return names;
}

std::optional<TimePoint> VersionHistory::nextSettledAt() const
{
    std::optional<TimePoint> next;
    for (const SoftwareVersion& name : this->unrecorded()) {
        TimePoint at = this->versions.at(name).listedSince + SettleTime;
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

bool VersionHistory::counts(const SoftwareVersion& version, TimePoint now) const
{
    auto found = this->versions.find(version);
    return found != this->versions.end() && found->second.countsAt(now);
}

bool VersionHistory::isMixed(TimePoint now) const
{
    auto count = std::count_if(this->versions.begin(), this->versions.end(),
        [now](const auto& each) { return each.second.countsAt(now); });
    return count > 1;
}

std::optional<SoftwareVersion> VersionHistory::onlyVersion(TimePoint now) const
{
    if (this->isMixed(now))
        return std::nullopt;
    for (const auto& [name, version] : this->versions) {
        if (version.countsAt(now))
            return name;
    }
    return std::nullopt;
}

std::string VersionHistory::text(TimePoint now) const
{
    std::string text;
    for (const auto& [name, version] : this->versions) {
        if (version.countsAt(now))
            text += (text.empty() ? "" : ",") + name.raw();
    }
    return text;
}

} // namespace peridotgrade
