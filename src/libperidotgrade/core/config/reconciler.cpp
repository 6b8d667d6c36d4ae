// Derives the next command from the difference between the engine's state and its assignment.
#include "peridotgrade/core/config/reconciler.h"

#include "peridotgrade/core/base/invariant.h"
#include "peridotgrade/core/base/name_table.h"

#include <algorithm>
#include <utility>

namespace peridotgrade {

namespace {

    constexpr auto CommandNames = std::to_array<std::string_view>({ "load", "unload", "change_role" });

    bool contains(const std::vector<std::string>& texts, const std::string& text)
    {
        return std::find(texts.begin(), texts.end(), text) != texts.end();
    }

    const LoadedModel* modelNamed(const EngineState& state, const ModelId& model)
    {
        auto found = std::find_if(state.models.begin(), state.models.end(),
            [&](const LoadedModel& loaded) { return loaded.model == model; });
        return found == state.models.end() ? nullptr : &*found;
    }

    bool isLoading(const EngineState& state, const ModelId& model)
    {
        return std::find(state.loading.begin(), state.loading.end(), model) != state.loading.end();
    }

    std::string describe(const ConfigurationCommand& command)
    {
        std::string text { nameOf(command.kind) };
        if (command.kind == ConfigurationCommandKind::ChangeRole)
            return text + " " + std::string { nameOf(command.role) };
        text += " " + command.model.raw() + " " + command.modelVersion;
        return command.adapter.empty() ? text : text + " adapter " + command.adapter;
    }

} // namespace

std::string_view nameOf(ConfigurationCommandKind kind) { return nameAt(CommandNames, kind); }

Reconciler::Reconciler(
    ReconcilerSettings settings, TimerService& timers, RandomSource& random, EventSink& events)
    : settings(settings)
    , timers(timers)
    , random(random)
    , events(events)
    , backoff(settings.initialRetryDelay, settings.maxRetryDelay)
{
}

Reconciler::~Reconciler() { this->timers.cancel(this->readTimer); }

void Reconciler::start() { this->requestState(); }

void Reconciler::requestState()
{
    ++this->lastRead;
    this->actions.push_back(ReadEngineState { this->lastRead });
}

void Reconciler::scheduleRead()
{
    this->readTimer
        = this->timers.subscribeAfter(this->settings.stateInterval, [this] { this->requestState(); });
}

void Reconciler::onTarget(ConfigVersion version, std::optional<EngineAssignment> target, Duration startIn,
    const PlanId& planOfVersion)
{
    if (version <= this->wanted)
        return;
    this->wanted = version;
    this->plan = planOfVersion;
    bool isSame = this->assignment == target;
    this->assignment = std::move(target);
    if (!isSame) {
        this->isInForce = false;
        this->startAt = this->timers.now() + startIn;
        this->retryAt = TimePoint {};
        this->backoff.reset();
    }
    this->step();
}

void Reconciler::onState(std::uint64_t read, EngineState newState)
{
    if (read != this->lastRead)
        return;
    this->scheduleRead();
    if (read <= this->staleThrough)
        return;
    this->state = std::move(newState);
    this->step();
}

void Reconciler::onStateFailed(std::uint64_t read)
{
    if (read != this->lastRead)
        return;
    this->scheduleRead();
    this->state.reset();
    this->isInForce = false;
    this->waitingFor = "the engine's state cannot be read";
}

void Reconciler::onCommandResult(CommandResult answer)
{
    if (!this->inFlight || this->inFlight->answer)
        return;
    this->inFlight->answer = answer;
    // The engine may have served a read in transit before it executed the command.
    this->staleThrough = this->lastRead;
    this->state.reset();
}

void Reconciler::onDrained()
{
    if (!this->isDraining)
        return;
    this->isDrained = true;
    this->step();
}

void Reconciler::step()
{
    if (!this->state || !this->settleInFlight())
        return;
    if (!this->assignment) {
        this->endDrain();
        this->isInForce = this->wanted != ConfigVersion {};
        this->waitingFor = this->isInForce ? "" : "no configuration is known";
        return;
    }
    std::optional<ConfigurationCommand> command = this->nextCommand();
    if (!command) {
        this->markInForce();
        return;
    }
    if (this->isInForce) {
        ++this->undone;
        this->isInForce = false;
        this->recordEvent(
            EventKind::EngineOrderUndone, "the engine left what is assigned; " + describe(*command));
    }
    TimePoint earliest = std::max(this->startAt, this->retryAt);
    if (this->timers.now() < earliest) {
        this->waitingFor = this->failures > 0 ? "the next try after a failure" : "its turn in the plan";
        return;
    }
    if (this->needsDrain(*command) && !this->isDrained) {
        this->beginDrain();
        this->waitingFor = "running requests to finish before " + describe(*command);
        return;
    }
    this->send(std::move(*command));
}

bool Reconciler::settleInFlight()
{
    if (!this->inFlight)
        return true;
    if (!this->inFlight->answer)
        return false;
    bool isRestarted = this->inFlight->engineIncarnation != this->state->incarnation;
    if (isRestarted) {
        this->inFlight.reset();
        return true;
    }
    const ConfigurationCommand& command = this->inFlight->command;
    if (this->hasEffect(command)) {
        this->recordEvent(EventKind::EngineOrderDone, describe(command));
        this->inFlight.reset();
        return true;
    }
    if (*this->inFlight->answer == CommandResult::StaleFence) {
        this->failCommand("the engine has seen fencing number " + std::to_string(this->state->fence));
        return true;
    }
    if (*this->inFlight->answer == CommandResult::Refused) {
        this->failCommand("the engine refused " + describe(command));
        return true;
    }
    if (command.kind == ConfigurationCommandKind::Load && isLoading(*this->state, command.model)) {
        this->waitingFor = "the load of " + command.model.raw() + " " + command.modelVersion;
        return false;
    }
    bool mayStillArrive = *this->inFlight->answer == CommandResult::AnswerLost
        && this->timers.now() - this->inFlight->sentAt < this->settings.lostCommandGracePeriod;
    if (mayStillArrive) {
        this->waitingFor = "an order whose answer was lost";
        return false;
    }
    this->failCommand("no effect of " + describe(command));
    return true;
}

bool Reconciler::hasEffect(const ConfigurationCommand& command) const
{
    if (command.kind == ConfigurationCommandKind::ChangeRole)
        return this->state->role == command.role;
    const LoadedModel* loaded = modelNamed(*this->state, command.model);
    if (command.kind == ConfigurationCommandKind::Unload)
        return loaded == nullptr;
    bool isLoaded = loaded != nullptr && loaded->version == command.modelVersion;
    return isLoaded && (command.adapter.empty() || contains(loaded->adapters, command.adapter));
}

void Reconciler::failCommand(const std::string& why)
{
    this->inFlight.reset();
    ++this->failures;
    this->retryAt = this->timers.now() + this->backoff.next(this->random);
    this->waitingFor = why;
    this->recordEvent(EventKind::EngineOrderFailed, why);
}

ConfigurationCommand Reconciler::commandOf(ConfigurationCommandKind kind) const
{
    ConfigurationCommand command;
    command.fence = this->wanted;
    command.kind = kind;
    command.model = this->assignment->model;
    command.modelVersion = this->assignment->modelVersion;
    command.role = this->assignment->role;
    return command;
}

std::optional<ConfigurationCommand> Reconciler::nextCommand() const
{
    if (this->state->role != this->assignment->role)
        return this->commandOf(ConfigurationCommandKind::ChangeRole);
    if (auto command = this->nextModelCommand())
        return command;
    for (const LoadedModel& loaded : this->state->models) {
        if (loaded.model == this->assignment->model)
            continue;
        ConfigurationCommand command = this->commandOf(ConfigurationCommandKind::Unload);
        command.model = loaded.model;
        command.modelVersion = loaded.version;
        return command;
    }
    return std::nullopt;
}

std::optional<ConfigurationCommand> Reconciler::nextModelCommand() const
{
    const EngineAssignment& desired = *this->assignment;
    const LoadedModel* loaded = modelNamed(*this->state, desired.model);
    if (loaded == nullptr || loaded->version != desired.modelVersion)
        return this->commandOf(ConfigurationCommandKind::Load);
    for (const std::string& adapter : desired.adapters) {
        if (contains(loaded->adapters, adapter))
            continue;
        ConfigurationCommand command = this->commandOf(ConfigurationCommandKind::Load);
        command.adapter = adapter;
        return command;
    }
    bool hasUnassignedAdapter = std::any_of(loaded->adapters.begin(), loaded->adapters.end(),
        [&](const std::string& adapter) { return !contains(desired.adapters, adapter); });
    // No command removes a single adapter, so the model is unloaded and loaded again.
    if (hasUnassignedAdapter)
        return this->commandOf(ConfigurationCommandKind::Unload);
    return std::nullopt;
}

bool Reconciler::needsDrain(const ConfigurationCommand& command) const
{
    if (command.kind != ConfigurationCommandKind::Load)
        return true;
    const LoadedModel* loaded = modelNamed(*this->state, command.model);
    return loaded != nullptr && loaded->version != command.modelVersion;
}

void Reconciler::send(ConfigurationCommand command)
{
    bool isOfPlan = command.fence == this->wanted && this->wanted != ConfigVersion {} && this->assignment;
    checkInvariant(isOfPlan, Invariant::OnlyConfirmedPlansOrdered, describe(command));
    checkInvariant(!this->inFlight, Invariant::InternalConsistency, "two commands in flight");
    this->waitingFor = "the effect of " + describe(command);
    this->recordEvent(EventKind::EngineOrderSent, describe(command));
    this->inFlight = InFlight { command, std::nullopt, this->timers.now(), this->state->incarnation };
    this->actions.push_back(SendCommand { std::move(command) });
}

void Reconciler::markInForce()
{
    this->endDrain();
    this->isInForce = true;
    this->waitingFor.clear();
    this->failures = 0;
    this->backoff.reset();
}

void Reconciler::beginDrain()
{
    if (this->isDraining)
        return;
    this->isDraining = true;
    this->actions.push_back(StartDrain {});
}

void Reconciler::endDrain()
{
    if (!this->isDraining)
        return;
    this->isDraining = false;
    this->isDrained = false;
    this->actions.push_back(StopDrain {});
}

void Reconciler::recordEvent(EventKind kind, const std::string& detail)
{
    TimelineEvent event;
    event.kind = kind;
    event.at = this->timers.now();
    event.subject = this->plan.raw();
    event.detail = "version " + std::to_string(this->wanted.raw()) + ": " + detail;
    this->events.record(std::move(event));
}

std::vector<ReconcilerAction> Reconciler::takeActions() { return std::exchange(this->actions, {}); }

ReconcilerStatus Reconciler::status() const
{
    ReconcilerStatus status;
    status.wanted = this->wanted;
    status.isInForce = this->isInForce;
    status.waitingFor = this->waitingFor;
    status.failures = this->failures;
    status.undone = this->undone;
    return status;
}

} // namespace peridotgrade
