// Requests to language models with separate prefill and decode engines.
#pragma once

#include "peridotgrade/core/serving/event_framer.h"
#include "peridotgrade/core/serving/retry_accounting.h"
#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/gateway/request_context.h"
#include "peridotgrade/gateway/reservation_broker.h"
#include "peridotgrade/gateway/stream_origin_log.h"

#include <boost/asio/awaitable.hpp>

namespace peridotgrade {

/// Serves one generation: first a reservation at a decode engine, then the prefill, then the stream. The
/// reservation comes before the prefill because a prefill for a full engine is wasted.
class GenerationCall {
public:
    GenerationCall(GatewayState& state, RequestContext& context, const EngineSpec& engine,
        std::shared_ptr<ReservationBroker> broker, StreamOriginLog& originLog);
    boost::asio::awaitable<void> serve();

private:
    enum class Next : std::uint8_t { Done, Retry, GiveUp };
    /// Whether the server that answers is the incarnation in the list, whose version is known.
    enum class Incarnation : std::uint8_t {
        Listed,
        Other,
        /// It does not state its start, or not in time.
        Unknown,
        /// It wants no calls now.
        NotAsked,
    };

    /// Prefill, hand-over and the first event at a busy engine take about this long after a reservation is
    /// granted. Where the prompt or the wait for prefill engines makes it longer, `onTimeUntil` follows that.
    static constexpr std::chrono::milliseconds TimeToFirstEvent { 300 };

    /// One round of reservation, prefill and stream.
    boost::asio::awaitable<Next> attempt();
    boost::asio::awaitable<std::optional<KvLocation>> prefill(const EngineReservation& reservation);
    boost::asio::awaitable<std::optional<KvLocation>> prefillAt(ServerId server, TimePoint due);
    /// Decode engines at which the stream may go on, or begin.
    std::vector<const ServerRecord*> decodeEngines();
    /// True if the stream may go on, or begin, at engines of the version.
    bool mayServe(const SoftwareVersion& candidate);
    /// Finds out which incarnation of a server has sent the head of an answer. A server may start again under
    /// its name and address at another version, and the list shows that later.
    boost::asio::awaitable<Incarnation> incarnationOf(
        const ServerAnswer& answer, std::shared_ptr<ServerClient> client);
    /// The same for a resumable stream. Returns false if the answer must not be delivered.
    boost::asio::awaitable<bool> checkIncarnation(ServerAnswer& answer, std::shared_ptr<ServerClient> client);
    /// The role of which no engine may be called before the request's due time, if there is one.
    std::optional<ServerRole> closedRole() const;
    /// False if the retry budget has too little left for the prefill and the run of the next round: the
    /// reservation, and the retry that is paid first, would be taken in vain.
    bool hasRoundBudget();
    /// What was found out of the engine after it granted a reservation; empty if it may get the run.
    std::string_view reasonNotToRunAt(const ServerRecord& engine);
    bool takeRunBudget();
    /// Takes the budget for sending a prefill once more after its connection has ended.
    bool takePrefillResendBudget();
    /// How long a prefill may take there before the server counts as silent.
    Duration prefillTimeout(const ServerRecord& server);
    /// Tokens of the prompt that the server has probably cached.
    std::uint32_t cachedTokensAt(const ServerRecord& server) const;
    void recordPrefill(const ServerRecord& server, Duration took);
    /// The prefill was given up after `took`.
    void recordTimedOutPrefill(const ServerRecord& server, Duration took);
    void recordBacklog(const ServerRecord& server, Duration took);
    /// What a prefill that took `took` at the server would take at the mean engine of the prefill pool.
    Duration atMeanEngine(const ServerRecord& server, Duration took);
    void notePrefillFailure(const ServerId& server, const CallFailure& failed, Duration took);
    boost::asio::awaitable<Next> stream(const EngineReservation& reservation, KvLocation kvCache);
    /// Passes a stream on. A resumable one goes on elsewhere if the server breaks it off; a stream that ends
    /// inside an event has been broken off, however its end is marked.
    boost::asio::awaitable<Next> forward(ServerAnswer& answer, std::shared_ptr<ServerClient> server);
    /// Compares the output of a complete stream with the estimate; returns its tokens.
    std::uint32_t recordOutput(std::uint32_t expected);
    /// Records the time for the events that have arrived since the last call.
    void recordEvents(const ServerRecord& server, TimePoint waitBegan);
    /// The first event is about to be delivered, so the stream stays at the version of this run.
    void noteBegun();
    /// A stream ended before it was complete.
    void noteBrokenStream(ServerAnswer& answer, const ServerId& server, std::string detail);
    boost::asio::awaitable<bool> deliver(ServerAnswer& answer, std::string bytes);
    boost::asio::awaitable<Next> forwardErrorAnswer(
        ServerAnswer& answer, std::shared_ptr<ServerClient> server);
    /// For the check whether the server still runs after the end of its answer.
    EndCheckTimes endCheckTimes() const;
    boost::asio::awaitable<void> reject(std::string_view reason);
    boost::asio::awaitable<void> giveUp();
    void freeInBackground(const KvLocation& kvCache);
    /// Asks an engine that rejected a prefill, or a run after it granted the reservation, whether it still
    /// has `role`. While it changes, the server list shows the old one, and it would cost each entry one
    /// prefill after the other.
    void checkRoleInBackground(std::shared_ptr<ServerClient> engineClient, ServerRole role);
    /// Notes that another round is not started, and which limit forbids it.
    void noteNoRetry(std::string_view limit);
    /// Returns true if the request may go on with another round.
    bool canContinue();
    /// Logs a failed hand-over of the KV cache.
    void noteFailedHandOver(const ServerId& server, const KvLocation& kvCache, std::string detail);
    /// Takes the KV cache of a failed hand-over, if its engine still keeps it.
    std::optional<KvLocation> takeUnusedCache();

    /// A prefill or run of this attempt has been sent.
    bool hasReachedServer() const { return this->runs > 0 || this->retryAccounting.prefillsReached() > 0; }
    bool isFirstAttempt() const;
    /// A caller without an event has given up after this; one whose stream has begun waits to the deadline.
    TimePoint firstEventDue() const;
    /// Lateness decides who yields: scheduling is load-aware, or requests have priorities.
    bool weighsLateness() const;
    /// True if the first event would be late for the caller, counted from its first attempt. What it has left
    /// of the route's time tells when that was.
    bool isLateRetry() const;
    bool canResume() const;
    TimePoint reservationDue() const;
    /// After this time a reservation is too late for an answer on time; nothing if that does not matter or
    /// `reservationDue` is earlier.
    std::optional<TimePoint> onTimeUntil() const;
    WaitingRequest waitingRequest() const;
    std::uint32_t urgency() const { return this->context.request.urgency.value_or(0); }
    std::uint32_t promptTokens() const;
    std::uint32_t tokensNeeded() const;
    RequestCost cost() const;
    Duration readTimeout() const;
    /// True while a run that brings no event is ended early, since its stream can go on at another engine.
    bool isStallWatched() const;
    /// How long the current run may still go without an event.
    Duration stallTimeLeft() const;

    GatewayState& state;
    RequestContext& context;
    const EngineSpec& engine;
    std::shared_ptr<ReservationBroker> broker;
    StreamOriginLog& originLog;
    EventFramer framer;
    /// Version of the engines that may serve the stream; nothing while any may. Invariant: once set, it does
    /// not change, since the events of two versions do not fit together.
    std::optional<SoftwareVersion> version;
    /// Version of the engine of the current run.
    SoftwareVersion runVersion;
    /// The current run is shown to be of `runVersion`.
    bool isRunVersionShown = false;
    /// The events that the caller has are shown to be of `version`.
    bool isOriginShown = false;
    std::uint32_t rounds = 0;
    /// Runs that an engine may have started.
    std::uint32_t runs = 0;
    RetryAccounting retryAccounting;
    /// KV cache of the last prefill, while no engine has requested it. Code that clears it uses or frees it.
    std::optional<KvLocation> unusedCache;
    /// How long the KV cache of the last prefill can be used.
    TimePoint cacheUsableUntil {};
    /// When the last reservation was granted.
    TimePoint reservedAt {};
    /// How long the last reservation took.
    Duration reservationWait {};
    /// The answer to the caller has begun.
    bool hasBegun = false;
    /// The last run ended as a complete one may, and its server has not shown that it still runs.
    bool mayBeComplete = false;
    /// When the body of the last run ended, before any check of its end.
    TimePoint bodyEndedAt {};
    std::optional<Duration> firstEvent;
    TimePoint lastPieceAt {};
    /// Events of the stream and their time, up to which the pace of its server has been recorded.
    std::uint32_t recordedEvents = 0;
    TimePoint recordedAt {};
    /// When the current run last brought an event with an id that the caller has taken, or began.
    TimePoint progressAt {};
    /// Longest pause between two pieces from the server.
    Duration longestPause {};
    std::string lastServer;
    std::string lastDetail;
    std::string_view failure = "no_capacity";
};

} // namespace peridotgrade
