// The engine's prefix cache, which has limited capacity.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotgrade::standins {

constexpr std::size_t CacheBlockTokens = 64;

/// Hashes of the prompt's complete blocks: for each block, the XXH3 hash of the prompt up to the block's end.
std::vector<std::uint64_t> blockHashes(std::string_view prompt);

/// Blocks that one insertion added and evicted.
struct CacheChange {
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> evicted;
};

/// LRU cache of prompt blocks by hash. Not thread safe.
class PrefixCache {
public:
    explicit PrefixCache(std::uint64_t tokens)
        : capacity(tokens / CacheBlockTokens)
    {
    }

    /// Length of the longest cached prefix in tokens.
    std::uint64_t cachedTokens(std::string_view prompt) const;
    CacheChange insert(std::string_view prompt);
    void clear();

private:
    std::uint64_t capacity;
    /// Most recently used first.
    std::list<std::uint64_t> byRecency;
    /// Invariant: has exactly the blocks of `byRecency`.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> byHash;
};

} // namespace peridotgrade::standins
