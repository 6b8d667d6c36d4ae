// Typed events of the timeline that covers all processes.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgrade {

/// Kinds of events; `nameOf` gives the names used in logs and timelines. A place is a reservation, an engine
/// order a command to an engine, and a session lapses when its lease expires.
enum class EventKind : std::uint8_t {
    RequestArrived,
    RequestRefused,
    RequestFinished,
    RequestCancelled,
    PlaceAsked,
    PlaceGranted,
    PlaceRefused,
    PlaceReleased,
    PrefillStarted,
    PrefillFinished,
    PrefillWasted,
    TransferStarted,
    DecodeStarted,
    FirstToken,
    AttemptFailed,
    AttemptResumed,
    StaleMessageDropped,
    SessionOpened,
    SessionLapsed,
    SessionRefused,
    AgentConnected,
    AgentLost,
    EngineCrashed,
    EngineRestarted,
    OrphanFreed,
    DrainStarted,
    DrainFinished,
    ClaimAppended,
    ClaimWon,
    ClaimLost,
    ActionStarted,
    ActionAnswered,
    ActionSealed,
    ActionUnknown,
    RequestSuspected,
    RequestQuarantined,
    ConfigurationApplied,
    PlanMade,
    PlanConfirmed,
    PlanVoid,
    EngineOrderSent,
    EngineOrderDone,
    EngineOrderFailed,
    EngineOrderUndone,
    ProcessStarted,
    ProcessStopping,
    LogUnavailable,
    LogAvailable,
};

/// Lower case with underscores.
std::string_view nameOf(EventKind kind);

/// One event as the core reports it; the process adds its name and a hybrid logical timestamp.
struct TimelineEvent {
    EventKind kind = EventKind::RequestArrived;
    TimePoint at;
    /// Zero where the event belongs to no request.
    AttemptId attempt;
    /// The agent, entry, plan or engine involved; empty if there is none.
    std::string subject;
    /// Short additional text, for example the reason of a refusal.
    std::string detail;
};

/// Receives events from the core. Implementations must not block.
class EventSink {
public:
    virtual ~EventSink() = default;
    virtual void record(TimelineEvent event) = 0;
};

/// Discards all events, for tests and benchmarks that need none.
class NullEventSink final : public EventSink {
public:
    void record(TimelineEvent) override { }
};

} // namespace peridotgrade
