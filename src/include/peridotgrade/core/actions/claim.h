// A claim in the log: the right of one entry to run an action.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/action_messages.h"

#include <optional>
#include <string>
#include <variant>

namespace peridotgrade {

/// Requests the right of `entry` to run the action `key` at `agent`. The first claim of a key in the log
/// wins. A superseding claim names the claim that it replaces, and counts only if that claim is still current
/// at this position of the log.
struct Claim {
    IdempotencyKey key;
    EntryId entry;
    ClaimNonce nonce;
    AgentId agent;
    /// Incarnation of the agent whose key table decides; another incarnation has lost that table.
    Incarnation agentIncarnation;
    std::optional<ClaimNonce> supersedes;
    /// Hash of the call, to detect one key used with two contents.
    Fingerprint content;
};

/// Error for a record of the claims stream that is not a valid claim.
struct ClaimFormatError {
    std::string detail;
};

/// Encodes a claim as one line of JSON, as stored in the log.
std::string encodeClaim(const Claim& claim);
std::variant<Claim, ClaimFormatError> decodeClaim(const std::string& data);

} // namespace peridotgrade
