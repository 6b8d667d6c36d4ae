// Actions at the entry: claimed in the log, run by the claim's winner, at most once.
#pragma once

#include "action_conversation.h"
#include "call_context.h"
#include "claim_fold.h"

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

    std::size_t openConversations() const { return this->conversations.size(); }

private:
    using Conversation = ActionConversation;

    /// A claim in an append under way.
    struct ClaimInFlight {
        IdempotencyKey key;
        ClaimNonce nonce;
    };

    /// A time on both scales.
    struct ClockPair {
        WallTime wall;
        TimePoint core;
    };

    // Requests.
    bool isRefusedForAge(RequestId request, const IdempotencyKey& key, WallTime now);
    void open(CallRequest request, const IdempotencyKey& key, Fingerprint content);
    void join(Conversation& conversation, const CallRequest& request, Fingerprint content);
    void addWaiter(Conversation& conversation, const CallRequest& request);
    void onDeadline(const IdempotencyKey& key, RequestId request);
    void onLastDeadline(Conversation& conversation);
    std::chrono::milliseconds longestKeyAge() const;
    void noteTime(WallTime now);
    void applyGap(WallTime gapSeen);

    // Claims.
    void proceed(Conversation& conversation);
    void claim(Conversation& conversation, std::optional<ClaimNonce> supersedes);
    void batch(Conversation& conversation);
    void batchAgain(Conversation& conversation);
    void flushBatch();
    void onClaimAppendEnded(Conversation& conversation, AppendResult result);
    void onAppendRefused(Conversation& conversation);
    void onClaimRead(const Claim& claim);
    void onOwnClaimRead(Conversation& conversation);
    void onClaimWon(Conversation& conversation);
    bool isWorthAppending(const Conversation& conversation) const;
    const Claim* currentClaim(const IdempotencyKey& key) const;

    // Agents.
    void start(Conversation& conversation, const AgentRun& run);
    void inquire(Conversation& conversation, const Claim& target);
    void ask(Conversation& conversation, const Claim& target, bool seal);
    void askAgain(Conversation& conversation);
    void onStartReported(Conversation& conversation, const ActionReport& report);
    void onInquiryReported(Conversation& conversation, const ActionReport& report);
    void onNeverStarted(Conversation& conversation);
    void onAbsent(Conversation& conversation);

    // Ends.
    void finish(Conversation& conversation, const ApplicationAnswer& answer);
    void endNotRun(Conversation& conversation, RefusalReason reason);
    void endUnknown(Conversation& conversation, RefusalReason reason);
    void endRan(Conversation& conversation);
    void end(Conversation& conversation, RefusalReason reason, Outcome outcome,
        std::optional<std::chrono::milliseconds> retryAfter);
    void forget(Conversation& conversation);
    void cancelTimers(const Conversation& conversation);

    Conversation* find(const IdempotencyKey& key);
    /// Keys of the conversations for which `predicate` holds; acting on one may end it or others.
    template <typename Predicate> std::vector<IdempotencyKey> select(Predicate predicate) const
    {
        std::vector<IdempotencyKey> keys;
        for (const auto& [key, conversation] : this->conversations) {
            if (predicate(conversation))
                keys.push_back(key);
        }
        return keys;
    }

    CallContext& context;
    ClaimFold fold;
    std::map<IdempotencyKey, Conversation> conversations;
    /// Keys of the conversations that were batched since the last flush.
    std::vector<IdempotencyKey> batched;
    std::map<AppendId, std::vector<ClaimInFlight>> appends;
    std::uint64_t lastAppend = 0;
    std::optional<TimerId> batchTimer;
    bool isLogAvailable = true;
    /// The last time of day told, and when.
    std::optional<ClockPair> clock;
    /// A gap that came before any time of day was told.
    std::optional<TimePoint> unjudgedGap;
    /// When the last record read was appended.
    std::optional<WallTime> lastRecordAt;
};

} // namespace peridotgrade
