// The rule that decides between claims.
#include "claim_fold.h"

namespace peridotgrade {

bool ClaimFold::apply(const Claim& claim)
{
    // Counting a claim of a forgotten key would make a late claim the first one.
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
