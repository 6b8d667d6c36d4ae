// The current claim of each key, computed from the claims stream and equal for every reader.
#pragma once

#include "agent_incarnation.h"
#include "key_map.h"
#include "peridotgrade/core/actions/claim.h"

#include <vector>

namespace peridotgrade {

/// The claims of a key that counted.
struct KeyClaims {
    /// The claim that decides who may run the action.
    Claim current;
    /// The incarnations named by all claims that have been current; each has or may have a tombstone for the
    /// key.
    std::vector<AgentIncarnation> namedIncarnations;
};

/// Applies claims in the order of the log. The first claim of a key is current until a superseding claim
/// names it; all others are void. Two readers that both know a key agree on its current claim at each offset;
/// a reader that may have forgotten a key counts no claim for it.
class ClaimReplica {
public:
    /// Returns true if the claim became the current one of its key.
    bool apply(const Claim& claim);

    const KeyClaims* find(const IdempotencyKey& key) const { return this->keys.find(key); }
    bool isForgotten(const IdempotencyKey& key) const { return this->keys.isForgotten(key); }
    void forgetUpTo(WallTime time) { this->keys.forgetUpTo(time); }
    std::size_t size() const { return this->keys.size(); }

private:
    KeyMap<KeyClaims> keys;
};

} // namespace peridotgrade
