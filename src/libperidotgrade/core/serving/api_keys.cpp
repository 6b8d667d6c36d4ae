// Index of keys by their hashes.
#include "peridotgrade/core/serving/api_keys.h"

#include "peridotgrade/core/base/key_hash.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    // Half of the digits of a SHA-256.
    constexpr std::size_t IndexDigits = 32;

    std::string indexOf(std::string_view hash) { return std::string { hash.substr(0, IndexDigits) }; }

} // namespace

ApiKeys::ApiKeys(const std::vector<Tenant>& tenants)
{
    for (std::size_t at = 0; at < tenants.size(); ++at) {
        for (const std::string& key : tenants[at].keys)
            this->add(key, at);
    }
}

void ApiKeys::add(const std::string& key, std::size_t tenant)
{
    if (key.empty())
        return;
    std::string hash = keySha256(key);
    // A key of two tenants stays with the first.
    if (this->find(hash) != nullptr)
        return;
    this->maxKeyBytes = std::max(this->maxKeyBytes, key.size());
    std::string index = indexOf(hash);
    this->entries.emplace(std::move(index), Entry { std::move(hash), tenant });
}

std::optional<std::size_t> ApiKeys::tenantOf(std::string_view key) const
{
    if (key.empty() || key.size() > this->maxKeyBytes)
        return std::nullopt;
    const Entry* entry = this->find(keySha256(key));
    return entry != nullptr ? std::optional { entry->tenant } : std::nullopt;
}

const ApiKeys::Entry* ApiKeys::find(std::string_view hash) const
{
    auto [begin, end] = this->entries.equal_range(indexOf(hash));
    for (auto each = begin; each != end; ++each) {
        if (isSameKeyHash(each->second.hash, hash))
            return &each->second;
    }
    return nullptr;
}

} // namespace peridotgrade
