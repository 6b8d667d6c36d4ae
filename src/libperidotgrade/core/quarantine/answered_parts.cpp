// Least recently answered parts are dropped first.
#include "peridotgrade/core/quarantine/answered_parts.h"

namespace peridotgrade {

void AnsweredParts::record(Fingerprint part, TimePoint now)
{
    auto found = this->positions.find(part);
    if (found != this->positions.end()) {
        found->second->answeredAt = now;
        this->entries.splice(this->entries.end(), this->entries, found->second);
        return;
    }
    this->positions[part] = this->entries.insert(this->entries.end(), { part, now });
    if (this->entries.size() <= Capacity)
        return;
    this->positions.erase(this->entries.front().part);
    this->entries.pop_front();
}

bool AnsweredParts::contains(Fingerprint part, TimePoint now) const
{
    auto found = this->positions.find(part);
    return found != this->positions.end() && now - found->second->answeredAt < Lifetime;
}

} // namespace peridotgrade
