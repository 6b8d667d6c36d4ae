// Pending role changes, and what reports say of those of a former leader.
#include "peridotgrade/core/serving/role_changes.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    ServerRole otherThan(ServerRole role)
    {
        return role == ServerRole::Prefill ? ServerRole::Decode : ServerRole::Prefill;
    }

} // namespace

void RoleChanges::takeOver(TimePoint now)
{
    this->firstReports.clear();
    this->askedAt.clear();
    this->learningUntil = now + Lifetime;
}

std::vector<const ServerRecord*> RoleChanges::enginesToAsk(std::vector<const ServerRecord*> engines) const
{
    std::erase_if(engines, [this](const ServerRecord* engine) { return this->contains(engine->id); });
    auto askedBefore = [this](const ServerRecord* engine) {
        auto found = this->askedAt.find(engine->id);
        return found == this->askedAt.end() ? TimePoint::min() : found->second;
    };
    std::stable_sort(engines.begin(), engines.end(), [&](const ServerRecord* one, const ServerRecord* other) {
        return askedBefore(one) < askedBefore(other);
    });
    engines.resize(std::min(engines.size(), MaxReports));
    return engines;
}

void RoleChanges::noteReport(
    const ServerRecord& listed, const std::optional<EngineReport>& report, TimePoint now)
{
    this->askedAt[listed.id] = now;
    if (!report || this->contains(listed.id))
        return;
    auto first = this->firstReports.find(listed.id);
    if (first == this->firstReports.end() || first->second.startedAt != listed.startedAt) {
        this->firstReports[listed.id] = { listed.startedAt, *report };
        first = this->firstReports.find(listed.id);
    }
    // An engine may accept a command some seconds before it begins to carry it out.
    const EngineReport& before = first->second.report;
    bool hasNewCommand = report->acceptedCommands > before.acceptedCommands && report->role == before.role;
    if (report->role != listed.role)
        this->begin(listed.id, report->role, now);
    else if (report->isCommandInProgress || hasNewCommand)
        this->begin(listed.id, otherThan(listed.role), now);
}

void RoleChanges::begin(const ServerId& server, ServerRole role, TimePoint now)
{
    this->pending[server] = { role, now + Lifetime };
}

void RoleChanges::noteAnnounced(const ServerId& server, ServerRole role, TimePoint until)
{
    // What this leader has commanded, or read in a report, is known better.
    this->pending.try_emplace(server, Pending { role, until });
}

void RoleChanges::expire(TimePoint now)
{
    std::erase_if(this->pending, [now](const auto& each) { return now >= each.second.until; });
}

ServerRole RoleChanges::futureRole(const ServerRecord& listed) const
{
    auto found = this->pending.find(listed.id);
    return found == this->pending.end() ? listed.role : found->second.role;
}

std::size_t RoleChanges::countChanging(const std::vector<const ServerRecord*>& listed) const
{
    return static_cast<std::size_t>(std::count_if(listed.begin(), listed.end(),
        [this](const ServerRecord* engine) { return this->futureRole(*engine) != engine->role; }));
}

} // namespace peridotgrade
