// Brings one engine to its assignment in the configuration and keeps it there.
#pragma once

#include "peridotgrade/core/base/backoff.h"
#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timeline_event.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/config/configuration_command.h"
#include "peridotgrade/core/config/configuration_record.h"
#include "peridotgrade/core/config/engine_state.h"
#include "peridotgrade/core/config/site_configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// Read the engine's state and call `onState` or `onStateFailed` with this number.
struct ReadEngineState {
    std::uint64_t read = 0;
};

struct SendCommand {
    ConfigurationCommand command;
};

/// Grant no new reservations; call `onDrained` once no request is running.
struct StartDrain { };

/// Grant reservations again.
struct StopDrain { };

using ReconcilerAction = std::variant<ReadEngineState, SendCommand, StartDrain, StopDrain>;

struct ReconcilerSettings {
    Duration stateInterval = std::chrono::seconds { 1 };
    /// How long a command whose answer was lost may still arrive at the engine.
    Duration lostCommandGracePeriod = std::chrono::seconds { 5 };
    Duration initialRetryDelay = std::chrono::seconds { 1 };
    Duration maxRetryDelay = std::chrono::seconds { 60 };
};

struct ReconcilerStatus {
    /// The desired version; 0 while none is known.
    ConfigVersion wanted;
    bool isInForce = false;
    /// What the reconciler is waiting for; empty if in force.
    std::string waitingFor;
    /// Number of commands that failed since the engine last matched its assignment.
    std::uint32_t failures = 0;
    /// Number of deviations that no command of this agent caused and that it reverted.
    std::uint64_t undone = 0;
};

/// Level-triggered: compares the latest state read from the engine with the assignment and issues the one
/// command that comes next. Only the engine's state counts, not the commands sent. At most one command is in
/// flight and the state is read back after it. Therefore engines that ignore fencing tokens are safe too, and
/// a late command from a former agent process or another client is detected and reverted. Loads that replace
/// a version, unloads and role changes wait until the engine is drained. An engine without an assignment is
/// left alone. Not thread safe.
class Reconciler {
public:
    Reconciler(ReconcilerSettings settings, TimerService& timers, RandomSource& random, EventSink& events);

    ~Reconciler();
    Reconciler(const Reconciler&) = delete;
    Reconciler& operator=(const Reconciler&) = delete;

    /// Starts reading the state.
    void start();

    /// Sets the assignment at `version`, the version in force; changes may begin after `startIn`. Versions
    /// that are not higher than the last one are ignored. `plan` identifies the version's plan in events.
    void onTarget(ConfigVersion version, std::optional<EngineAssignment> assignment, Duration startIn,
        const PlanId& plan = {});

    void onState(std::uint64_t read, EngineState state);
    void onStateFailed(std::uint64_t read);
    /// The engine's answer to the command in flight.
    void onCommandResult(CommandResult answer);
    void onDrained();

    std::vector<ReconcilerAction> takeActions();
    ReconcilerStatus status() const;

private:
    struct InFlight {
        ConfigurationCommand command;
        std::optional<CommandResult> answer;
        TimePoint sentAt;
        Incarnation engineIncarnation;
    };

    void requestState();
    void scheduleRead();
    void step();
    /// True if no command is in flight any more.
    bool settleInFlight();
    bool hasEffect(const ConfigurationCommand& command) const;
    void failCommand(const std::string& why);
    std::optional<ConfigurationCommand> nextCommand() const;
    std::optional<ConfigurationCommand> nextModelCommand() const;
    bool needsDrain(const ConfigurationCommand& command) const;
    void send(ConfigurationCommand command);
    void markInForce();
    void beginDrain();
    void endDrain();
    void recordEvent(EventKind kind, const std::string& detail);
    ConfigurationCommand commandOf(ConfigurationCommandKind kind) const;

    ReconcilerSettings settings;
    TimerService& timers;
    RandomSource& random;
    EventSink& events;
    Backoff backoff;

    /// Invariant: never decreases.
    ConfigVersion wanted;
    PlanId plan;
    std::optional<EngineAssignment> assignment;
    TimePoint startAt;
    TimePoint retryAt;

    TimerId readTimer;
    std::uint64_t lastRead = 0;
    /// Reads up to this one were requested before the last command was answered, so their states may not show
    /// its effect.
    std::uint64_t staleThrough = 0;
    std::optional<EngineState> state;
    /// Invariant: at most one command is in flight.
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
