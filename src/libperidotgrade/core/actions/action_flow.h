// Actions at the entry: claimed in the log, run by the claim's winner, at most once.
#pragma once

#include "call_context.h"
#include "claim_fold.h"
#include "pending_action.h"

#include <map>

namespace peridotgrade {

/// Serves the calls with a key. Three facts carry the proof (docs/proofs-actions.md): only the entry that
/// made a claim sends the action for it, once, and only while the claim is current in the log; a claim is
/// replaced only when it was never sent or its key is sealed at its agent; an agent's table takes a key once.
class ActionFlow {
public:
    explicit ActionFlow(CallContext& context);
    /// Drops its timers; nobody is told anything.
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

    /// A claim in an append under way.
    struct ClaimInFlight {
        IdempotencyKey key;
        ClaimNonce nonce;
    };

    /// A time on both scales.
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

    // Ends.
    void finish(Pending& pending, const ApplicationAnswer& answer);
    void endNotRun(Pending& pending, RefusalReason reason);
    void endUnknown(Pending& pending, RefusalReason reason);
    void endResultNotKept(Pending& pending);
    void end(Pending& pending, RefusalReason reason, Outcome outcome,
        std::optional<std::chrono::milliseconds> retryAfter);
    void forget(Pending& pending);
    void cancelTimers(const Pending& pending);

    Pending* find(const IdempotencyKey& key);
    /// Keys of the conversations for which `predicate` holds; acting on one may end it or others.
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
    ClaimFold fold;
    std::map<IdempotencyKey, Pending> pendingActions;
    /// Keys of the conversations that were batched since the last flush.
    std::vector<IdempotencyKey> batchedKeys;
    std::map<AppendId, std::vector<ClaimInFlight>> appends;
    std::uint64_t lastAppend = 0;
    std::optional<TimerId> batchTimer;
    bool isLogAvailable = true;
    /// The last time of day told, and when.
    std::optional<ClockPair> clock;
    /// A gap that came before any time of day was told.
    std::optional<TimePoint> pendingGap;
    /// When the last record read was appended.
    std::optional<WallTime> lastRecordAt;
};

} // namespace peridotgrade
