// A claim in the log: who may run an action.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/action_messages.h"

#include <optional>
#include <string>
#include <variant>

namespace peridotgrade {

/// Says that `entry` wants to run the action `key` at `agent`. The first claim of a key in the log wins. A
/// claim that supersedes names the claim that it replaces and counts only if that one is still current at its
/// place.
struct Claim {
    IdempotencyKey key;
    EntryId entry;
    ClaimNonce nonce;
    AgentId agent;
    /// Run of the agent whose table decides; another run has lost it.
    Incarnation agentIncarnation;
    std::optional<ClaimNonce> supersedes;
    /// Hash of the call, so that one key with two contents is noticed.
    Fingerprint content;
};

/// A record of the claims stream that is none of ours.
struct ClaimFormatError {
    std::string detail;
};

/// One line of JSON, as stored in the log.
std::string encodeClaim(const Claim& claim);
std::variant<Claim, ClaimFormatError> decodeClaim(const std::string& data);

} // namespace peridotgrade
