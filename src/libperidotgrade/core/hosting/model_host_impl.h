// Internals of a model host. Each group of functions below has its own source file.
#pragma once

#include "capacity.h"
#include "crash_reports.h"
#include "drain_rate.h"
#include "engine_streams.h"
#include "host_session.h"
#include "peridotgrade/core/hosting/model_host.h"
#include "prefill_queue.h"
#include "reservation_table.h"

#include <map>
#include <string>

namespace peridotgrade {

/// State of the engine process as the host knows it.
enum class EngineCondition : std::uint8_t {
    Down,
    /// The engine is up, but streams of an earlier agent are not freed yet; nothing is granted.
    Reconciling,
    Ready,
};

class ModelHost::Impl {
public:
    Impl(ModelHostSettings settings, TimerService& timers, RandomSource& random, EventSink& events);

    // Sessions (host_sessions.cpp).
    void onConnected(ConnectionId connection);
    void onDisconnected(ConnectionId connection);
    void onMessage(ConnectionId connection, const EntryMessage& message);
    void handle(HostSession& session, const OpenSession& message);
    void handle(HostSession& session, const RenewSession& message);
    void handle(HostSession& session, const ReleaseAttempt& message);
    /// Ignores messages that are meant for other parts of the agent.
    template <typename Other> void handle(HostSession&, const Other&) { }

    // Reservations (host_reservations.cpp).
    void handle(HostSession& session, const ReservationRequest& message);
    void handle(HostSession& session, const StartDecode& message);

    // Prefills (host_prefills.cpp).
    void handle(HostSession& session, const StartPrefill& message);

    // The engine (host_engine.cpp).
    void onEngineEvent(const EngineEvent& event);
    void handle(const EnginePrefillDone& event);
    void handle(const EngineTokens& event);
    void handle(const EngineStreamFailed& event);
    void handle(const EngineCancelled& event);
    void handle(const EngineListing& event);
    void handle(const EngineDied& event);
    void handle(const EngineUp& event);

    void drain();
    void drainForChange();
    bool resume();
    bool isDrained() const;

    std::vector<HostAction> takeActions();
    const ModelHostCounters& currentCounters();

    ConfigVersion version;

private:
    // Sessions.
    /// Returns false and notifies the entry if `epoch` is not that of the connection's live session.
    bool acceptEpoch(HostSession& session, SessionEpoch epoch);
    void renew(HostSession& session);
    void armExpiryTimer(HostSession& session);
    void onExpiryTimer(ConnectionId connection, SessionEpoch epoch);
    /// Releases everything reserved under the session and refuses its epoch from then on.
    void endSession(HostSession& session, EventKind reason);
    void sendOpened(const HostSession& session);
    void endOtherSessionsOf(const EntryId& entry, ConnectionId except);
    std::vector<AttemptKey> keysOf(SessionEpoch epoch) const;
    /// Frees everything that the attempt has reserved or requested at this agent.
    void release(const AttemptKey& key);

    // Reservations.
    DecodeReservation makeReservation(const HostSession& session, const ReservationRequest& message) const;
    /// Reason why the request can be granted neither now nor later; empty if it may be queued.
    std::optional<ReservationRefusalReason> reasonToRefuse(
        const ReservationRequest& message, const EngineResources& wanted) const;
    bool canGrantNow(const DecodeReservation& requested) const;
    void grant(DecodeReservation requested);
    void refuse(const DecodeReservation& requested, ReservationRefusalReason reason);
    void onQueueTimeout(const AttemptKey& key);
    void grantQueued();
    void refuseAllQueued(ReservationRefusalReason reason);
    bool hasOtherSuspect(const AttemptKey& own) const;
    bool servesModel(const ModelId& model) const;

    // Prefills.
    PrefillJob makePrefill(const HostSession& session, const StartPrefill& message) const;
    std::optional<AttemptFailure> reasonToFail(const PrefillJob& job) const;
    void startQueuedPrefills();
    void startPrefill(PrefillJob& job);
    void failPrefill(const AttemptKey& key, AttemptFailure reason);
    void onResultTimeout(const EngineStreamId& stream);

    // The engine.
    void startDecode(DecodeReservation& reservation, const StartDecode& message);
    void requestListing();
    void onListTimer();
    void listIfUp();
    void onListingTimeout(std::uint64_t request);
    void cancelStream(const EngineStreamId& id);
    void armCancelTimer();
    void onCancelTimer();
    /// Removes a stream that the engine no longer holds, and grants the freed resources to queued work.
    void forgetStream(const EngineStreamId& id);
    void onEngineLost();
    void becomeReadyIfReconciled();
    void fail(ConnectionId connection, const AttemptId& attempt, AttemptFailure reason);

    void send(ConnectionId connection, AgentMessage message);
    void sendToEngine(EngineCommand command);
    void record(EventKind kind, const AttemptId& attempt, std::string subject, std::string detail = {});
    LiveLoad liveLoad() const;
    bool isReady() const { return this->condition == EngineCondition::Ready; }

    ModelHostSettings settings;
    TimerService& timers;
    RandomSource& random;
    EventSink& events;
    std::vector<HostAction> actions;
    ModelHostCounters totals;
    /// Invariant: true if `isLeaving` is.
    bool isDraining = false;
    bool isLeaving = false;

    std::map<ConnectionId, HostSession> sessions;

    EngineCondition condition = EngineCondition::Down;
    EngineUp engine;
    /// Number of listings requested, so that the timeout of an old request does not repeat a newer one.
    std::uint64_t listingsRequested = 0;
    bool isListingPending = false;
    bool hasCancelTimer = false;

    CrashReports crashReports;
    Capacity capacity;
    DrainRate drainRate;
    EngineStreams streams;
    ReservationTable reservations;
    PrefillQueue prefills;
};

} // namespace peridotgrade
