// Actions on the entry: claimed in the log, sent by the winner of the claim, run at most once.
#pragma once

#include "call_context.h"
#include "claim_replica.h"
#include "pending_action.h"

#include <map>

namespace peridotgrade {

/// Serves the calls with a key. The proof that an action runs at most once (docs/proofs-actions.md) rests on
/// three facts. Only the entry that made a claim sends the action for it, once, and only while the claim is
/// current in the log. A claim is replaced only if its action was never sent or if its agent has a tombstone
/// for the key. An agent's key table accepts a key once.
class ActionFlow {
public:
    explicit ActionFlow(CallContext& context);
    /// Cancels its timers without notifying anybody.
    ~ActionFlow();
    ActionFlow(const ActionFlow&) = delete;
    ActionFlow& operator=(const ActionFlow&) = delete;

    void submit(CallRequest request, WallTime now);
    void cancel(RequestId request);

    void onAgentConnected(const AgentId& agent);
    void onAgentLost(const AgentId& agent);
    void onReport(const AgentId& agent, const ActionReport& report);

    void onAppendResult(AppendId append, AppendResult result);
    void onRecords(const std::vector<LogRecord>& records);
    void onCaughtUp(TimePoint readBegan);
    void onGap();
    void setLogAvailable(bool isAvailable);

    std::size_t openActions() const { return this->pendingActions.size(); }

private:
    using Pending = PendingAction;

    /// A claim in an append in flight.
    struct ClaimInFlight {
        IdempotencyKey key;
        ClaimNonce nonce;
    };

    /// One moment in wall-clock and in monotonic time.
    struct ClockPair {
        WallTime wall;
        TimePoint monotonic;
    };

    // Requests.
    bool isRefusedForAge(RequestId request, const IdempotencyKey& key, WallTime now);
    void open(CallRequest request, const IdempotencyKey& key, Fingerprint content);
    void join(Pending& pending, const CallRequest& request, Fingerprint content);
    void addWaiter(Pending& pending, const CallRequest& request);
    void onDeadline(const IdempotencyKey& key, RequestId request);
    void onLastDeadline(Pending& pending);
    std::chrono::milliseconds longestKeyAge() const;
    void updateClock(WallTime now);
    void applyGap(WallTime gapSeenAt);

    // Claims.
    void proceed(Pending& pending);
    void claim(Pending& pending, std::optional<ClaimNonce> supersedes);
    void addToBatch(Pending& pending);
    void rebatch(Pending& pending);
    void flushBatch();
    void onClaimAppendEnded(Pending& pending, AppendResult result);
    void onAppendRefused(Pending& pending);
    void onClaimRead(const Claim& claim);
    void onOwnClaimRead(Pending& pending);
    void onClaimWon(Pending& pending);
    bool canStillWin(const Pending& pending) const;
    const Claim* currentClaim(const IdempotencyKey& key) const;

    // Agents.
    void start(Pending& pending, const AgentIncarnation& target);
    void queryAgent(Pending& pending, const Claim& queriedClaim);
    void sendQuery(Pending& pending, const Claim& queriedClaim, bool seal);
    void resendQuery(Pending& pending);
    void onStartReported(Pending& pending, const ActionReport& report);
    void onQueryReported(Pending& pending, const ActionReport& report);
    void onNeverStarted(Pending& pending);
    void onAbsent(Pending& pending);

    // Final results.
    void finish(Pending& pending, const ApplicationAnswer& answer);
    void endNotRun(Pending& pending, RefusalReason reason);
    void endUnknown(Pending& pending, RefusalReason reason);
    void endResultNotKept(Pending& pending);
    void end(Pending& pending, RefusalReason reason, Outcome outcome,
        std::optional<std::chrono::milliseconds> retryAfter);
    void forget(Pending& pending);
    void cancelTimers(const Pending& pending);

    Pending* find(const IdempotencyKey& key);
    /// Keys of the pending actions for which `predicate` holds, copied since handling one may end it or
    /// others.
    template <typename Predicate> std::vector<IdempotencyKey> select(Predicate predicate) const
    {
        std::vector<IdempotencyKey> keys;
        for (const auto& [key, pending] : this->pendingActions) {
            if (predicate(pending))
                keys.push_back(key);
        }
        return keys;
    }

    CallContext& context;
    ClaimReplica claimReplica;
    std::map<IdempotencyKey, Pending> pendingActions;
    /// Keys of the pending actions added to the batch since the last flush.
    std::vector<IdempotencyKey> batchedKeys;
    std::map<AppendId, std::vector<ClaimInFlight>> appends;
    std::uint64_t lastAppend = 0;
    std::optional<TimerId> batchTimer;
    bool isLogAvailable = true;
    /// The latest wall-clock time that was passed in, and when.
    std::optional<ClockPair> clock;
    /// A gap that was reported before any wall-clock time was known.
    std::optional<TimePoint> pendingGap;
    /// Append time of the last record read.
    std::optional<WallTime> lastRecordAt;
};

} // namespace peridotgrade
