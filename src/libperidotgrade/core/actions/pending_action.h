// The state of one key on an entry while a request for it is open.
#pragma once

#include "peridotgrade/core/actions/action_router.h"
#include "peridotgrade/core/actions/claim.h"
#include "peridotgrade/core/base/backoff.h"

namespace peridotgrade {

/// What a pending action waits for.
enum class ActionStage : std::uint8_t {
    /// Its own claim is part of the next batch.
    Batched,
    /// The append is in flight.
    Appending,
    /// The append was refused; the claim is batched again after a backoff.
    AppendRefused,
    /// The acknowledgement of the append was lost; only reading the log tells.
    AppendUnknown,
    /// The claim is in the log and is to be read back.
    Appended,
    /// Another claim is current; its agent is queried for the state of the key.
    Querying,
    /// Its own claim is current and the action was sent.
    Sent,
};

/// A request that waits for the action's answer.
struct ActionWaiter {
    RequestId request;
    TimerId deadline;
    /// False after the caller has cancelled or disconnected.
    bool isConnected = true;
};

/// State of one key on one entry shard, shared by the requests with this key.
struct PendingAction {
    explicit PendingAction(Backoff appendBackoff)
        : appendBackoff(appendBackoff)
    {
    }

    /// The scoped key, as in the log and in messages.
    IdempotencyKey key;
    /// The request that opened the pending action; identifies its messages to agents.
    RequestId id;
    ServiceId service;
    ApplicationCall call;
    Fingerprint content;
    /// Latest deadline of the waiters.
    TimePoint deadline;
    std::vector<ActionWaiter> waiters;

    ActionStage stage = ActionStage::Batched;
    /// The last claim made here. Earlier ones were read, void or unsent, and are never acted on again.
    Claim claim;
    /// The claim whose agent is queried, while in the stage `Querying`.
    Claim queriedClaim;
    /// Invariant: true from the moment StartAction is handed out until an agent has reported that the action
    /// was not and will not be started. While true, no waiter gets the outcome `not-run`.
    bool mayHaveStarted = false;
    /// True if the last message to an agent was a query and not the start itself.
    bool hasSentQuery = false;
    /// Number of the last message to an agent; a report counts only if it answers that message.
    std::uint32_t attemptNumber = 0;
    Backoff appendBackoff;
    TimePoint appendEndedAt;
    /// Runs during the backoff after a refused append, and while the claim's owner may still start the
    /// action.
    TimerId waitTimer;

    AttemptId attempt() const { return { this->id, this->attemptNumber }; }
    const AgentId& awaitedAgent() const
    {
        return this->stage == ActionStage::Sent ? this->claim.agent : this->queriedClaim.agent;
    }
    bool awaitsOwnClaim() const { return this->stage < ActionStage::Querying; }
};

} // namespace peridotgrade
