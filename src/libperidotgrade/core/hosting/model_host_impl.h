// Inside of a model host. Each group of functions below has its own source file.
#pragma once

#include "capacity.h"
#include "crash_reports.h"
#include "drain_rate.h"
#include "engine_streams.h"
#include "host_session.h"
#include "peridotgrade/core/hosting/model_host.h"
#include "place_table.h"
#include "prefill_queue.h"

#include <map>
#include <string>

namespace peridotgrade {

/// What the host knows of its engine's process.
enum class EngineCondition : std::uint8_t {
    Down,
    /// Up, but what an earlier agent left there is not freed yet; nothing is granted.
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
    /// Messages of other parts of the agent are not for the model host.
    template <typename Other> void handle(HostSession&, const Other&) { }

    // Places (host_places.cpp).
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
    /// False, after telling the entry, if `epoch` is not that of the connection's live session.
    bool acceptEpoch(HostSession& session, SessionEpoch epoch);
    void renew(HostSession& session);
    void armLapseTimer(HostSession& session);
    void onLapseTimer(ConnectionId connection, SessionEpoch epoch);
    /// Releases all that is held under the session and refuses its epoch from now on.
    void endSession(HostSession& session, EventKind why);
    void sendOpened(const HostSession& session);
    void endOtherSessionsOf(const EntryId& entry, ConnectionId but);
    std::vector<HoldKey> keysOf(SessionEpoch epoch) const;
    /// Frees everything that the attempt holds or asks for here.
    void release(const HoldKey& key);

    // Places.
    Place makePlace(const HostSession& session, const ReservationRequest& message) const;
    /// Why the ask cannot be served now or later; nothing if it may wait for a place.
    std::optional<ReservationRefusalReason> reasonToRefuse(
        const ReservationRequest& message, const Reservation& wanted) const;
    bool canGrantNow(const Place& ask) const;
    void grant(Place ask);
    void refuse(const Place& ask, ReservationRefusalReason reason);
    void onAskTimeout(const HoldKey& key);
    void serveAsks();
    void refuseAllAsks(ReservationRefusalReason reason);
    bool hasOtherSuspect(const HoldKey& than) const;
    bool servesModel(const ModelId& model) const;

    // Prefills.
    PrefillJob makePrefill(const HostSession& session, const StartPrefill& message) const;
    std::optional<AttemptFailure> reasonToFail(const PrefillJob& job) const;
    void serveSomePrefills();
    void startPrefill(PrefillJob& job);
    void failPrefill(const HoldKey& key, AttemptFailure reason);
    void onKeptTimeout(const EngineStreamId& stream);

    // The engine.
    void startDecode(Place& place, const StartDecode& message);
    void requestListing();
    void onListTimer();
    void listIfUp();
    void onListingTimeout(std::uint64_t request);
    void cancelStream(const EngineStreamId& id);
    void armCancelTimer();
    void onCancelTimer();
    /// The engine holds nothing for the stream any more.
    void forgetStream(const EngineStreamId& id);
    void onEngineLost();
    void becomeReadyIfReconciled();
    void fail(ConnectionId connection, const AttemptId& attempt, AttemptFailure reason);

    void send(ConnectionId connection, AgentMessage message);
    void tellEngine(EngineCommand command);
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
    /// Counts listings asked for, so that an old timeout does not repeat a newer one.
    std::uint64_t listingsAsked = 0;
    bool isListingAwaited = false;
    bool hasCancelTimer = false;

    CrashReports crashReports;
    Capacity capacity;
    DrainRate drainRate;
    EngineStreams streams;
    PlaceTable places;
    PrefillQueue prefills;
};

} // namespace peridotgrade
