// What the claims stream says of each key: the same for every reader.
#pragma once

#include "agent_incarnation.h"
#include "key_map.h"
#include "peridotgrade/core/actions/claim.h"

#include <vector>

namespace peridotgrade {

/// A key's claims as far as they count.
struct KeyClaims {
    /// The claim that decides who may run the action.
    Claim current;
    /// Every run named by a claim that was current once; the key is or may be sealed there.
    std::vector<AgentIncarnation> namedIncarnations;
};

/// Folds claims in the order of the log. The first claim of a key is current until a superseding one that
/// names it; all others are void. Two readers that both know a key agree on its current claim at each offset;
/// a reader that may have forgotten a key counts no claim for it.
class ClaimFold {
public:
    /// True if the claim became the key's current one.
    bool apply(const Claim& claim);

    const KeyClaims* find(const IdempotencyKey& key) const { return this->keys.find(key); }
    bool isForgotten(const IdempotencyKey& key) const { return this->keys.isForgotten(key); }
    void forgetUpTo(WallTime time) { this->keys.forgetUpTo(time); }
    std::size_t size() const { return this->keys.size(); }

private:
    KeyMap<KeyClaims> keys;
};

} // namespace peridotgrade
