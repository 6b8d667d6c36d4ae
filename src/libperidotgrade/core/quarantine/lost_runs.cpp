// Matches lost connections with the ends of servers.
#include "peridotgrade/core/quarantine/lost_runs.h"

#include <algorithm>
#include <map>
#include <set>

namespace peridotgrade {

bool LostRuns::recordLoss(const ServerCrash& incarnation, const std::vector<LostSuspect>& lost, TimePoint now)
{
    this->removeExpired(now);
    bool hasEnded = std::any_of(
        this->ends.begin(), this->ends.end(), [&](const End& end) { return end.incarnation == incarnation; });
    if (hasEnded)
        return true;
    this->losses.push_back({ now, incarnation, lost });
    if (this->losses.size() > MaxLosses)
        this->losses.pop_front();
    return false;
}

std::vector<LostSuspect> LostRuns::recordEnd(const ServerCrash& incarnation, TimePoint now)
{
    this->removeExpired(now);
    std::map<Suspect, LostSuspect> found;
    std::erase_if(this->losses, [&](const Loss& loss) {
        if (loss.incarnation != incarnation)
            return false;
        for (const LostSuspect& lost : loss.lost) {
            LostSuspect& known = found.try_emplace(lost.suspect, lost).first->second;
            known.wasTrial = known.wasTrial || lost.wasTrial;
        }
        return true;
    });
    this->ends.push_back({ now, incarnation });
    if (this->ends.size() > MaxLosses)
        this->ends.pop_front();
    std::vector<LostSuspect> result;
    for (const auto& [suspect, lost] : found)
        result.push_back(lost);
    return result;
}

std::vector<ServerCrash> LostRuns::undecided(const std::string& server, TimePoint now)
{
    this->removeExpired(now);
    std::set<ServerCrash> found;
    for (const Loss& loss : this->losses) {
        if (loss.incarnation.server == server)
            found.insert(loss.incarnation);
    }
    return { found.begin(), found.end() };
}

void LostRuns::removeExpired(TimePoint now)
{
    while (!this->losses.empty() && this->losses.front().at + MaxEvidenceDelay < now)
        this->losses.pop_front();
    while (!this->ends.empty() && this->ends.front().at + MaxEvidenceDelay < now)
        this->ends.pop_front();
}

} // namespace peridotgrade
