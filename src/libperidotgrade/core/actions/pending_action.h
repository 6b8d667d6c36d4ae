// One key on its way: what an entry knows and has done about it.
#pragma once

#include "peridotgrade/core/actions/action_router.h"
#include "peridotgrade/core/actions/claim.h"
#include "peridotgrade/core/base/backoff.h"

namespace peridotgrade {

/// What a conversation waits for.
enum class ActionStage : std::uint8_t {
    /// The own claim is to be appended with the next batch.
    Batched,
    /// The append is under way.
    Appending,
    /// The append was refused; the claim is batched again after a wait.
    AppendRefused,
    /// The append's answer was lost; reading tells.
    AppendUnknown,
    /// The claim is in the log and will be read.
    Appended,
    /// Another claim is current: its agent is asked what became of the key.
    Querying,
    /// The own claim is current and the action was sent.
    Sent,
};

/// A request that wants the action's answer.
struct ActionWaiter {
    RequestId request;
    TimerId deadline;
    /// False once the caller is gone.
    bool isConnected = true;
};

/// All that concerns one key at one entry shard. Requests with the same key share it.
struct PendingAction {
    explicit PendingAction(Backoff appendBackoff)
        : appendBackoff(appendBackoff)
    {
    }

    /// Scoped.
    IdempotencyKey key;
    /// The request that opened it; names its messages.
    RequestId id;
    ServiceId service;
    ApplicationCall call;
    Fingerprint content;
    /// Latest deadline of the waiters.
    TimePoint deadline;
    std::vector<ActionWaiter> waiters;

    ActionStage stage = ActionStage::Batched;
    /// The last own claim. Its predecessors were read, void or unsent, and are never acted on again.
    Claim claim;
    /// The claim whose agent is asked, while inquiring.
    Claim queriedClaim;
    /// Invariant: true from the moment that StartAction is handed out until an agent has said that it was not
    /// and will not be started; while true, no waiter is told `not-run`.
    bool mayHaveStarted = false;
    /// True if the last message to an agent was a question and not the start itself.
    bool hasSentQuery = false;
    /// Counts the messages to agents; a report counts only if it answers the last one.
    std::uint32_t attemptNumber = 0;
    Backoff appendBackoff;
    TimePoint appendEndedAt;
    /// Runs while a wait for an append or for the claim's holder goes on.
    TimerId waitTimer;

    AttemptId attempt() const { return { this->id, this->attemptNumber }; }
    const AgentId& awaitedAgent() const
    {
        return this->stage == ActionStage::Sent ? this->claim.agent : this->queriedClaim.agent;
    }
    bool awaitsOwnClaim() const { return this->stage < ActionStage::Querying; }
};

} // namespace peridotgrade
