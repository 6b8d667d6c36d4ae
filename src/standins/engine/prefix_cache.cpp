// Lookup, insertion and eviction of prompt blocks.
#include "prefix_cache.h"

#include "answer.h"

#include <memory>

namespace peridotgrade::standins {

std::vector<std::uint64_t> blockHashes(std::string_view prompt)
{
    constexpr std::size_t BlockBytes = CacheBlockTokens * PieceBytes;
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    std::vector<std::uint64_t> hashes;
    for (std::size_t at = 0; at + BlockBytes <= prompt.size(); at += BlockBytes) {
        XXH3_64bits_update(state.get(), prompt.data() + at, BlockBytes);
        hashes.push_back(XXH3_64bits_digest(state.get()));
    }
    return hashes;
}

std::uint64_t PrefixCache::cachedTokens(std::string_view prompt) const
{
    std::uint64_t tokens = 0;
    for (std::uint64_t hash : blockHashes(prompt)) {
        if (!this->byHash.count(hash))
            break;
        tokens += CacheBlockTokens;
    }
    return tokens;
}

CacheChange PrefixCache::insert(std::string_view prompt)
{
    CacheChange change;
    for (std::uint64_t hash : blockHashes(prompt)) {
        auto found = this->byHash.find(hash);
        if (found != this->byHash.end()) {
            this->byRecency.splice(this->byRecency.begin(), this->byRecency, found->second);
            continue;
        }
        this->byRecency.push_front(hash);
        this->byHash[hash] = this->byRecency.begin();
        change.added.push_back(hash);
    }
    while (this->byRecency.size() > this->capacity) {
        change.evicted.push_back(this->byRecency.back());
        this->byHash.erase(this->byRecency.back());
        this->byRecency.pop_back();
    }
    return change;
}

void PrefixCache::clear()
{
    this->byRecency.clear();
    this->byHash.clear();
}

} // namespace peridotgrade::standins
