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

    std::string describe(const AssignedOrder& order)
    {
        std::string text { nameOf(order.kind) };
        if (order.kind == AssignedOrderKind::ChangeRole)
            return text + " " + std::string { nameOf(order.role) };
        text += " " + order.model.raw() + " " + order.modelVersion;
        return order.adapter.empty() ? text : text + " adapter " + order.adapter;
    }

} // namespace

std::string_view nameOf(AssignedOrderKind kind) { return nameAt(CommandNames, kind); }

Reconciler::Reconciler(
    ReconcilerSettings settings, TimerService& timers, RandomSource& random, EventSink& events)
    : settings(settings)
    , timers(timers)
    , random(random)
    , events(events)
    , backoff(settings.firstRetry, settings.longestRetry)
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

void Reconciler::onOrderAnswer(OrderAnswer answer)
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
    std::optional<AssignedOrder> order = this->nextCommand();
    if (!order) {
        this->markInForce();
        return;
    }
    if (this->isInForce) {
        ++this->undone;
        this->isInForce = false;
        this->recordEvent(
            EventKind::EngineOrderUndone, "the engine deviates from its assignment; " + describe(*order));
    }
    TimePoint earliest = std::max(this->startAt, this->retryAt);
    if (this->timers.now() < earliest) {
        this->waitingFor
            = this->failures > 0 ? "the next attempt after a failure" : "its start time in the plan";
        return;
    }
    if (this->needsDrain(*order) && !this->isDrained) {
        this->beginDrain();
        this->waitingFor = "running requests to finish before " + describe(*order);
        return;
    }
    this->send(std::move(*order));
}

bool Reconciler::settleInFlight()
{
    if (!this->inFlight)
        return true;
    if (!this->inFlight->answer)
        return false;
    bool isRestarted = this->inFlight->engine != this->state->incarnation;
    if (isRestarted) {
        this->inFlight.reset();
        return true;
    }
    const AssignedOrder& order = this->inFlight->order;
    if (this->hasEffect(order)) {
        this->recordEvent(EventKind::EngineOrderDone, describe(order));
        this->inFlight.reset();
        return true;
    }
    if (*this->inFlight->answer == OrderAnswer::StaleFence) {
        this->failCommand("the engine has seen fencing token " + std::to_string(this->state->fence));
        return true;
    }
    if (*this->inFlight->answer == OrderAnswer::Refused) {
        this->failCommand("the engine refused " + describe(order));
        return true;
    }
    if (order.kind == AssignedOrderKind::Load && isLoading(*this->state, order.model)) {
        this->waitingFor = "the load of " + order.model.raw() + " " + order.modelVersion;
        return false;
    }
    bool mayStillArrive = *this->inFlight->answer == OrderAnswer::Lost
        && this->timers.now() - this->inFlight->sentAt < this->settings.lostOrderGrace;
    if (mayStillArrive) {
        this->waitingFor = "a command whose answer was lost";
        return false;
    }
    this->failCommand("no effect of " + describe(order));
    return true;
}

bool Reconciler::hasEffect(const AssignedOrder& order) const
{
    if (order.kind == AssignedOrderKind::ChangeRole)
        return this->state->role == order.role;
    const LoadedModel* loaded = modelNamed(*this->state, order.model);
    if (order.kind == AssignedOrderKind::Unload)
        return loaded == nullptr;
    bool isLoaded = loaded != nullptr && loaded->version == order.modelVersion;
    return isLoaded && (order.adapter.empty() || contains(loaded->adapters, order.adapter));
}

void Reconciler::failCommand(const std::string& why)
{
    this->inFlight.reset();
    ++this->failures;
    this->retryAt = this->timers.now() + this->backoff.next(this->random);
    this->waitingFor = why;
    this->recordEvent(EventKind::EngineOrderFailed, why);
}

AssignedOrder Reconciler::commandOf(AssignedOrderKind kind) const
{
    AssignedOrder order;
    order.fence = this->wanted;
    order.kind = kind;
    order.model = this->assignment->model;
    order.modelVersion = this->assignment->modelVersion;
    order.role = this->assignment->role;
    return order;
}

std::optional<AssignedOrder> Reconciler::nextCommand() const
{
    if (this->state->role != this->assignment->role)
        return this->commandOf(AssignedOrderKind::ChangeRole);
    if (auto order = this->nextModelCommand())
        return order;
    for (const LoadedModel& loaded : this->state->models) {
        if (loaded.model == this->assignment->model)
            continue;
        AssignedOrder order = this->commandOf(AssignedOrderKind::Unload);
        order.model = loaded.model;
        order.modelVersion = loaded.version;
        return order;
    }
    return std::nullopt;
}

std::optional<AssignedOrder> Reconciler::nextModelCommand() const
{
    const EngineAssignment& desired = *this->assignment;
    const LoadedModel* loaded = modelNamed(*this->state, desired.model);
    if (loaded == nullptr || loaded->version != desired.modelVersion)
        return this->commandOf(AssignedOrderKind::Load);
    for (const std::string& adapter : desired.adapters) {
        if (contains(loaded->adapters, adapter))
            continue;
        AssignedOrder order = this->commandOf(AssignedOrderKind::Load);
        order.adapter = adapter;
        return order;
    }
    bool hasUnassignedAdapter = std::any_of(loaded->adapters.begin(), loaded->adapters.end(),
        [&](const std::string& adapter) { return !contains(desired.adapters, adapter); });
    // No command removes a single adapter, so the model is unloaded and loaded again.
    if (hasUnassignedAdapter)
        return this->commandOf(AssignedOrderKind::Unload);
    return std::nullopt;
}

bool Reconciler::needsDrain(const AssignedOrder& order) const
{
    if (order.kind != AssignedOrderKind::Load)
        return true;
    const LoadedModel* loaded = modelNamed(*this->state, order.model);
    return loaded != nullptr && loaded->version != order.modelVersion;
}

void Reconciler::send(AssignedOrder order)
{
    bool isOfPlan = order.fence == this->wanted && this->wanted != ConfigVersion {} && this->assignment;
    checkInvariant(isOfPlan, Invariant::OnlyConfirmedPlansOrdered, describe(order));
    checkInvariant(!this->inFlight, Invariant::InternalConsistency, "two commands in flight");
    this->waitingFor = "the effect of " + describe(order);
    this->recordEvent(EventKind::EngineOrderSent, describe(order));
    this->inFlight = InFlight { order, std::nullopt, this->timers.now(), this->state->incarnation };
    this->actions.push_back(SendOrder { std::move(order) });
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
