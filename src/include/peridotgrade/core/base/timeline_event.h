// Typed events of the time line over all processes.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotgrade {

/// What happened. Names in logs and time lines come from `nameOf`.
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

/// One event as the core reports it; the process adds its name and a hybrid logical clock.
struct TimelineEvent {
    EventKind kind = EventKind::RequestArrived;
    TimePoint at;
    /// Zero where the event belongs to no request.
    AttemptId attempt;
    /// The other party: agent, entry, plan or engine; empty where there is none.
    std::string subject;
    /// A short remark, for example the reason of a refusal.
    std::string detail;
};

/// Takes events from the core. Implementations must not block.
class EventSink {
public:
    virtual ~EventSink() = default;
    virtual void record(TimelineEvent event) = 0;
};

/// Drops every event, for tests and benchmarks that look at none.
class NullEventSink final : public EventSink {
public:
    void record(TimelineEvent) override { }
};

} // namespace peridotgrade
