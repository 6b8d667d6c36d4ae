// The engine's cache of prompt prefixes, with limited memory.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotgrade::standins {

constexpr std::size_t CacheBlockTokens = 64;

/// Names of the prompt's whole blocks: the XXH3 hash of all text up to the end of each.
std::vector<std::uint64_t> blockNames(std::string_view prompt);

/// What one insertion changed.
struct CacheChange {
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> evicted;
};

/// Blocks by name; the least recently used are evicted. Not thread safe.
class PrefixCache {
public:
    explicit PrefixCache(std::uint64_t tokens)
        : capacity(tokens / CacheBlockTokens)
    {
    }

    /// Tokens of the longest cached prefix.
    std::uint64_t cachedTokens(std::string_view prompt) const;
    CacheChange insert(std::string_view prompt);
    void clear();

private:
    std::uint64_t capacity;
    /// Most recently used first.
    std::list<std::uint64_t> byUse;
    /// Invariant: holds exactly the blocks of `byUse`.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> byName;
};

} // namespace peridotgrade::standins
