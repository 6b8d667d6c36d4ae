// Lookup, insertion and eviction of prompt blocks.
#include "prefix_cache.h"

#include "answer.h"

#include <memory>

namespace peridotgrade::standins {

std::vector<std::uint64_t> blockNames(std::string_view prompt)
{
    constexpr std::size_t BlockBytes = CacheBlockTokens * PieceBytes;
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    std::vector<std::uint64_t> names;
    for (std::size_t at = 0; at + BlockBytes <= prompt.size(); at += BlockBytes) {
        XXH3_64bits_update(state.get(), prompt.data() + at, BlockBytes);
        names.push_back(XXH3_64bits_digest(state.get()));
    }
    return names;
}

std::uint64_t PrefixCache::cachedTokens(std::string_view prompt) const
{
    std::uint64_t tokens = 0;
    for (std::uint64_t name : blockNames(prompt)) {
        if (!this->byName.count(name))
            break;
        tokens += CacheBlockTokens;
    }
    return tokens;
}

CacheChange PrefixCache::insert(std::string_view prompt)
{
    CacheChange change;
    for (std::uint64_t name : blockNames(prompt)) {
        auto found = this->byName.find(name);
        if (found != this->byName.end()) {
            this->byUse.splice(this->byUse.begin(), this->byUse, found->second);
            continue;
        }
        this->byUse.push_front(name);
        this->byName[name] = this->byUse.begin();
        change.added.push_back(name);
    }
    while (this->byUse.size() > this->capacity) {
        change.evicted.push_back(this->byUse.back());
        this->byName.erase(this->byUse.back());
        this->byUse.pop_back();
    }
    return change;
}

void PrefixCache::clear()
{
    this->byUse.clear();
    this->byName.clear();
}

} // namespace peridotgrade::standins
