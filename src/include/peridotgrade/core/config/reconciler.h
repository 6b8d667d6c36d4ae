// Brings one engine to what the configuration assigns to it, and keeps it there.
#pragma once

#include "peridotgrade/core/base/backoff.h"
#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timeline_event.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/config/assigned_order.h"
#include "peridotgrade/core/config/configuration_record.h"
#include "peridotgrade/core/config/engine_state.h"
#include "peridotgrade/core/config/site_configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// Read the engine's state and hand it to `onState` with this number, or `onStateFailed`.
struct ReadEngineState {
    std::uint64_t read = 0;
};

struct SendOrder {
    AssignedOrder order;
};

/// Grant nothing new; call `onDrained` when nothing runs any more.
struct StartDrain { };

/// Grant again.
struct StopDrain { };

using ReconcilerAction = std::variant<ReadEngineState, SendOrder, StartDrain, StopDrain>;

struct ReconcilerSettings {
    Duration stateInterval = std::chrono::seconds { 1 };
    /// How long an order with a lost answer may still arrive at the engine.
    Duration lostOrderGrace = std::chrono::seconds { 5 };
    Duration firstRetry = std::chrono::seconds { 1 };
    Duration longestRetry = std::chrono::seconds { 60 };
};

struct ReconcilerStatus {
    /// The version wanted; 0 while none is known.
    ConfigVersion wanted;
    bool isInForce = false;
    /// Why not, in words; empty if in force.
    std::string waitingFor;
    /// Orders that failed since the engine was last as wanted.
    std::uint32_t failures = 0;
    /// Deviations that no order of this agent caused, and that it undid.
    std::uint64_t undone = 0;
};

/// Level-triggered: looks at the state that was read last and gives the one order that leads on from there.
/// It does not remember what it has ordered as done; the engine's state alone counts. One order is in flight
/// at a time and the state is read back after it, so that engines which ignore fencing numbers are safe, and
/// what a dead predecessor or a stranger ordered late is seen and undone. Loads that replace a version,
/// unloads and changes of role wait until the engine is drained. Without an assignment the engine is left
/// alone. Not thread safe.
class Reconciler {
public:
    Reconciler(ReconcilerSettings settings, TimerService& timers, RandomSource& random, EventSink& events);

    ~Reconciler();
    Reconciler(const Reconciler&) = delete;
    Reconciler& operator=(const Reconciler&) = delete;

    /// Begins to read the state.
    void start();

    /// The assignment at `version`, which the fold has in force; it may begin after `startIn`. Lower versions
    /// than the last one are ignored. `plan` names the version's plan in events.
    void onTarget(ConfigVersion version, std::optional<EngineAssignment> assignment, Duration startIn,
        const PlanId& plan = {});

    void onState(std::uint64_t read, EngineState state);
    void onStateFailed(std::uint64_t read);
    /// The answer to the order in flight.
    void onOrderAnswer(OrderAnswer answer);
    void onDrained();

    std::vector<ReconcilerAction> takeActions();
    ReconcilerStatus status() const;

private:
    struct InFlight {
        AssignedOrder order;
        std::optional<OrderAnswer> answer;
        TimePoint sentAt;
        Incarnation engine;
    };

    void requestState();
    void scheduleRead();
    void step();
    /// True if no order is in flight any more.
    bool settleInFlight();
    bool hasEffect(const AssignedOrder& order) const;
    void failOrder(const std::string& why);
    std::optional<AssignedOrder> nextOrder() const;
    std::optional<AssignedOrder> nextModelOrder() const;
    bool needsDrain(const AssignedOrder& order) const;
    void send(AssignedOrder order);
    void markInForce();
    void beginDrain();
    void endDrain();
    void recordEvent(EventKind kind, const std::string& detail);
    AssignedOrder orderOf(AssignedOrderKind kind) const;

    ReconcilerSettings settings;
    TimerService& timers;
    RandomSource& random;
    EventSink& events;
    Backoff backoff;

    /// Invariant: never falls.
    ConfigVersion wanted;
    PlanId plan;
    std::optional<EngineAssignment> assignment;
    TimePoint startAt;
    TimePoint retryAt;

    TimerId readTimer;
    std::uint64_t lastRead = 0;
    /// States of reads up to this one were asked for before the last order was answered and say nothing of
    /// it.
    std::uint64_t staleThrough = 0;
    std::optional<EngineState> state;
    /// Invariant: at most one order is in flight.
    std::optional<InFlight> inFlight;
    bool isDraining = false;
    bool isDrained = false;
    bool isInForce = false;
    std::string waitingFor = "no configuration is known";
    std::uint32_t failures = 0;
    std::uint64_t undone = 0;
    std::vector<ReconcilerAction> actions;
};

} // namespace peridotgrade
