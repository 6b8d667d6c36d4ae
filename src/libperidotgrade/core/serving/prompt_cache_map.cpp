// Last use of parts of prompts by server.
#include "peridotgrade/core/serving/prompt_cache_map.h"

namespace peridotgrade {

void PromptCacheMap::noteRead(const ServerRecord& server, const std::vector<PromptPart>& parts, TimePoint now)
{
    for (const PromptPart& part : parts) {
        Key key { part.id, server.id, server.startedAt };
        auto [found, isNew] = this->reads.try_emplace(key);
        if (!isNew)
            this->order.erase(found->second.position);
        found->second = { now, this->order.insert(this->order.end(), key) };
    }
    auto isOld = [&](const Key& key) { return this->reads.at(key).at + Lifetime <= now; };
    while (!this->order.empty() && (this->reads.size() > MaxEntries || isOld(this->order.front()))) {
        this->reads.erase(this->order.front());
        this->order.pop_front();
    }
}

std::uint32_t PromptCacheMap::cachedTokens(
    const ServerRecord& server, const std::vector<PromptPart>& parts, TimePoint now) const
{
    std::uint32_t tokens = 0;
    for (const PromptPart& part : parts) {
        auto found = this->reads.find({ part.id, server.id, server.startedAt });
        if (found == this->reads.end() || found->second.at + Lifetime <= now)
            break;
        tokens += part.tokens;
    }
    return tokens;
}

} // namespace peridotgrade
