// Finds the tenant to which a caller's key belongs.
#pragma once

#include "peridotgrade/core/serving/tenant.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotgrade {

/// Index of the keys of a list of tenants, built once for each configuration. It has hashes only.
///
/// A look-up hashes the key, finds candidates by the first half of the hash and compares the whole hash in
/// constant time. Its time depends on hashes, which tell nothing of a key, and not on how much of a key is
/// right.
class ApiKeys {
public:
    ApiKeys() = default;
    explicit ApiKeys(const std::vector<Tenant>& tenants);

    /// Position of the key's tenant in the list; nothing if the key is unknown.
    std::optional<std::size_t> tenantOf(std::string_view key) const;
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry {
        std::string hash;
        std::size_t tenant = 0;
    };

    void add(const std::string& key, std::size_t tenant);
    const Entry* find(std::string_view hash) const;

    std::unordered_multimap<std::string, Entry> entries;
    /// Longer keys are unknown and are not hashed: a caller may send 64 KiB.
    std::size_t maxKeyBytes = 0;
};

} // namespace peridotgrade
