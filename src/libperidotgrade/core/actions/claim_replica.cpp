// The rule that decides which claim of a key is current.
#include "claim_replica.h"

namespace peridotgrade {

bool ClaimReplica::apply(const Claim& claim)
{
    // Without this check, a late claim of a forgotten key would count as its first one.
    if (this->keys.isForgotten(claim.key))
        return false;
    AgentIncarnation incarnation { claim.agent, claim.agentIncarnation };
    KeyClaims* known = this->keys.find(claim.key);
    if (!known) {
        if (claim.supersedes)
            return false;
        this->keys.insert(claim.key, KeyClaims { claim, { incarnation } });
        return true;
    }
    if (claim.supersedes != known->current.nonce)
        return false;
    known->current = claim;
    known->namedIncarnations.push_back(incarnation);
    return true;
}

} // namespace peridotgrade
