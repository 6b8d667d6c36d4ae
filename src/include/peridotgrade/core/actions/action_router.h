// The entry's side of application calls: reads with retries, actions at most once.
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
    /// Empty for reads. As given by `parseIdempotencyKey`; the router adds workspace and service.
    IdempotencyKey key;
    ApplicationCall call;
    /// After this the call is given up. Never extended.
    TimePoint deadline;

    bool isAction() const { return !this->key.raw().empty(); }
};

/// The application's answer; the request is forgotten.
struct FinishCall {
    RequestId request;
    ApplicationAnswer answer;
};

/// Names one append, so that its result can be told.
using AppendId = StrongId<struct AppendIdTag, std::uint64_t>;

/// Append these records, together, to the claims stream.
struct AppendClaims {
    AppendId append;
    std::vector<std::string> records;
};

using CallAction = std::variant<SendToAgent, AppendClaims, FinishCall, RefuseRequest>;

/// What is known of an append when its answer is there, or is not.
enum class AppendResult : std::uint8_t {
    Appended,
    /// Surely not in the log and never will be.
    Refused,
    /// Perhaps in the log; reading tells.
    Unknown,
};

/// An application server that may get new work.
struct CallCandidate {
    AgentId agent;
    ServiceId service;
    DataCentreId dataCentre;
};

/// Knobs of an action router.
struct ActionRouterSettings {
    EntryId entry;
    DataCentreId dataCentre;
    /// A key whose time is longer ago is refused as not run: the log may have dropped its claim.
    std::chrono::milliseconds maxKeyAge { std::chrono::minutes { 30 } };
    /// A key whose time is further ahead is refused: it would outlive its claim's retention.
    std::chrono::milliseconds maxKeyAhead { std::chrono::seconds { 60 } };
    /// The log surely keeps records this long. Where that is short, it lowers the age of keys that are taken.
    std::chrono::milliseconds claimRetention { std::chrono::minutes { 60 } };
    /// Claims wait this long for others to share the append.
    std::chrono::milliseconds batchDelay { 3 };
    /// The holder of a claim gets this long to start the action before another entry seals the key.
    std::chrono::milliseconds sealGrace { 250 };
    std::uint32_t maxReadRetries = 2;
    double retryBudgetShare = 0.1;
    double retryBudgetReserve = 10.0;
};

/// Totals since the start, for metrics.
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

/// Serves application calls. An action is claimed in the log, run by the claim's winner at the claimed agent,
/// and never sent a second time once it may have started; repeats of its key get the first one's answer while
/// that is kept. Reads are repeated elsewhere within the retry budget. Driven like ModelRouter; not thread
/// safe.
class ActionRouter {
public:
    ActionRouter(
        ActionRouterSettings settings, TimerService& timers, RandomSource& random, EventSink& events);
    ~ActionRouter();
    ActionRouter(const ActionRouter&) = delete;
    ActionRouter& operator=(const ActionRouter&) = delete;

    /// `now` is the time of day, to judge the key's age.
    void submit(CallRequest request, WallTime now);
    /// The caller is gone. An action that is not claimed yet is dropped, one that is goes on unheard.
    void cancel(RequestId request);

    void updateCandidates(std::vector<CallCandidate> candidates);
    /// The agent's connection is up and it has told its incarnation.
    void onAgentConnected(const AgentId& agent, Incarnation incarnation);
    void onAgentLost(const AgentId& agent);
    void onMessage(const AgentId& agent, const AgentMessage& message);

    void onAppendResult(AppendId append, AppendResult result);
    /// Records of the claims stream, in order and without gaps, as read from the log.
    void onRecords(const std::vector<LogRecord>& records);
    /// All records below `offset` have been read, at a read that began at `readBegan`; so claims whose append
    /// had ended before and that are not among them are not in the log.
    void onCaughtUp(LogOffset offset, TimePoint readBegan);
    /// Records between the last one read and `offset` are lost to retention: keys that they may have named
    /// are refused as too old.
    void onGap(LogOffset offset);
    /// Out of reach: actions are refused as not run before anything is sent. Reads go on.
    void setLogAvailable(bool isAvailable);

    std::vector<CallAction> takeActions();
    const ActionRouterCounters& counters() const;
    std::size_t openRequests() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
