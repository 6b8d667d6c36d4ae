// Application calls on the entry: reads with retries, actions at most once.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timeline_event.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/messages/log_record.h"
#include "peridotgrade/core/messages/refuse_request.h"
#include "peridotgrade/core/messages/send_to_agent.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// An application call as admitted by an entry. An action has a key, a read has none.
struct CallRequest {
    RequestId id;
    WorkspaceId workspace;
    ServiceId service;
    /// Empty for reads. As returned by `parseIdempotencyKey`; the router adds workspace and service.
    IdempotencyKey key;
    ApplicationCall call;
    /// Time at which the call is given up. Never extended.
    TimePoint deadline;

    bool isAction() const { return !this->key.raw().empty(); }
};

/// Returns the application's answer; the request is forgotten.
struct FinishCall {
    RequestId request;
    ApplicationAnswer answer;
};

/// Identifies one append, for its result.
using AppendId = StrongId<struct AppendIdTag, std::uint64_t>;

/// Asks for these records to be appended to the claims stream in one append.
struct AppendClaims {
    AppendId append;
    std::vector<std::string> records;
};

using CallAction = std::variant<SendToAgent, AppendClaims, FinishCall, RefuseRequest>;

/// What is known about an append after it was acknowledged or failed.
enum class AppendResult : std::uint8_t {
    Appended,
    /// Not in the log, and never will be.
    Refused,
    /// Possibly in the log; only reading the log tells.
    Unknown,
};

/// An application server that may get new calls.
struct CallCandidate {
    AgentId agent;
    ServiceId service;
    DataCentreId dataCentre;
};

/// Settings of an action router.
struct ActionRouterSettings {
    EntryId entry;
    DataCentreId dataCentre;
    /// A key older than this is refused as not run, since the log may have dropped its claim.
    std::chrono::milliseconds maxKeyAge { std::chrono::minutes { 30 } };
    /// A key created further in the future than this is refused, since it would outlive its claim's
    /// retention.
    std::chrono::milliseconds maxKeyAhead { std::chrono::seconds { 60 } };
    /// Time for which the log is sure to keep records. If it is short, it lowers the maximum age of admitted
    /// keys.
    std::chrono::milliseconds claimRetention { std::chrono::minutes { 60 } };
    /// Time for which claims wait to share an append with others.
    std::chrono::milliseconds batchDelay { 3 };
    /// Time that the owner of a claim has to start the action before another entry asks the agent for a
    /// tombstone.
    std::chrono::milliseconds tombstoneDelay { 250 };
    std::uint32_t maxReadRetries = 2;
    double retryBudgetShare = 0.1;
    double retryBudgetReserve = 10.0;
};

/// Totals since construction, for metrics.
struct ActionRouterCounters {
    std::uint64_t reads = 0;
    std::uint64_t actions = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t claimsAppended = 0;
    std::uint64_t appends = 0;
};

/// Serves application calls. An action is claimed in the log and sent by the entry whose claim won, to the
/// agent that the claim names. It is never sent again once it may have started; repeated requests with its
/// key get the first answer as long as that is kept. Reads are retried at other agents within the retry
/// budget. Driven like ModelRouter; not thread safe.
class ActionRouter {
public:
    ActionRouter(
        ActionRouterSettings settings, TimerService& timers, RandomSource& random, EventSink& events);
    ~ActionRouter();
    ActionRouter(const ActionRouter&) = delete;
    ActionRouter& operator=(const ActionRouter&) = delete;

    /// `now` is the wall-clock time against which the key's age is checked.
    void submit(CallRequest request, WallTime now);
    /// The caller has cancelled or disconnected. An action that is not claimed yet is dropped; a claimed one
    /// goes on, but its answer is not returned to this caller.
    void cancel(RequestId request);

    void updateCandidates(std::vector<CallCandidate> candidates);
    /// The agent is connected and has reported its incarnation.
    void onAgentConnected(const AgentId& agent, Incarnation incarnation);
    void onAgentLost(const AgentId& agent);
    void onMessage(const AgentId& agent, const AgentMessage& message);

    void onAppendResult(AppendId append, AppendResult result);
    /// Records of the claims stream as read from the log, in order and without gaps.
    void onRecords(const std::vector<LogRecord>& records);
    /// All records below `offset` have been read, by a read that began at `readBegan`. A claim whose append
    /// had ended by then and that was not among the records is not in the log.
    void onCaughtUp(LogOffset offset, TimePoint readBegan);
    /// Records between the last one read and `offset` were lost to retention. Keys that they may have claimed
    /// are refused as too old.
    void onGap(LogOffset offset);
    /// While the log is not available, actions are refused as not run before anything is sent. Reads go on.
    void setLogAvailable(bool isAvailable);

    std::vector<CallAction> takeActions();
    const ActionRouterCounters& counters() const;
    std::size_t openRequests() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
