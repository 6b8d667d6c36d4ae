// The router's requests: admission, cancellation, deadlines.
#include "router_core.h"

#include "peridotgrade/core/base/invariant.h"
#include "peridotgrade/core/routing/fingerprint.h"

#include <algorithm>
#include <utility>

namespace peridotgrade {

namespace {
    constexpr std::chrono::milliseconds FirstBackoff { 10 };
    constexpr std::chrono::milliseconds LongestBackoff { 500 };
} // namespace

RouterCore::RouterCore(ModelRouterSettings settings, std::unique_ptr<PlacementChooser> chooser,
    TimerService& timers, RandomSource& random, Quarantine& quarantine, EventSink& events)
    : settings(std::move(settings))
    , chooser(std::move(chooser))
    , timers(timers)
    , random(random)
    , quarantine(quarantine)
    , events(events)
    , retryBudget(this->settings.retryBudgetShare, this->settings.retryBudgetReserve)
    , agents(this->settings.entry, this->settings.incarnation, timers, this->actions)
{
}

void RouterCore::submit(ModelRequest request)
{
    ++this->totals.requests;
    this->record(EventKind::RequestArrived, AttemptId { request.id, 0 }, request.model.raw());
    bool isNew = !this->requests.contains(request.id);
    checkInvariant(isNew, Invariant::InternalConsistency, "a request id was used twice");
    Fingerprint fingerprint = fingerprintOf(request.model, request.prompt);
    if (this->quarantine.stateOf(fingerprint) == QuarantineState::Quarantined) {
        this->refuseAtOnce(request, RefusalReason::Quarantined);
        return;
    }
    RequestId id = request.id;
    RequestState fresh { .request = std::move(request),
        .fingerprint = fingerprint,
        .backoff = Backoff(FirstBackoff, LongestBackoff) };
    RequestState& state = this->requests.emplace(id, std::move(fresh)).first->second;
    state.deadlineTimer = this->timers.subscribeAt(state.request.deadline, [this, id] {
        if (RequestState* late = this->find(id))
            this->onDeadline(*late);
    });
    this->startAttempt(state);
}

void RouterCore::cancel(RequestId request)
{
    RequestState* state = this->find(request);
    if (!state)
        return;
    ++this->totals.cancelled;
    this->record(EventKind::RequestCancelled, AttemptId { request, state->lastAttempt }, {});
    this->erase(*state);
}

void RouterCore::updateView(RoutingView view)
{
    this->agents.setVersion(view.version);
    this->view = std::move(view);
}

std::vector<RouterAction> RouterCore::takeActions() { return std::exchange(this->actions, {}); }

RequestState* RouterCore::find(RequestId request)
{
    auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

Duration RouterCore::slack(const RequestState& state) const
{
    TimePoint due = state.request.deadline;
    if (state.nextIndex == 0)
        due = std::min(due, state.request.firstTokenDue);
    return due - this->timers.now();
}

Duration RouterCore::prefillSlack(const RequestState& state) const
{
    return this->slack(state) - this->handover.expected(state.request.promptTokens + state.nextIndex);
}

void RouterCore::setPhaseTimer(
    RequestState& state, Duration delay, void (RouterCore::*onTimer)(RequestState&))
{
    this->clearPhaseTimer(state);
    state.phaseTimer = this->timers.subscribeAfter(delay, [this, id = state.request.id, onTimer] {
        RequestState* waiting = this->find(id);
        if (!waiting)
            return;
        waiting->phaseTimer.reset();
        (this->*onTimer)(*waiting);
    });
}

void RouterCore::clearPhaseTimer(RequestState& state)
{
    if (state.phaseTimer)
        this->timers.cancel(*state.phaseTimer);
    state.phaseTimer.reset();
}

void RouterCore::onDeadline(RequestState& state)
{
    state.deadlineTimer.reset();
    this->refuse(state, RefusalReason::DeadlineUnreachable);
}

void RouterCore::onPhaseTooLong(RequestState& state) { this->failAttempt(state, AttemptFailure::TooLate); }

void RouterCore::record(EventKind kind, const AttemptId& attempt, std::string subject, std::string detail)
{
    TimelineEvent event;
    event.kind = kind;
    event.at = this->timers.now();
    event.attempt = attempt;
    event.subject = std::move(subject);
    event.detail = std::move(detail);
    this->events.record(std::move(event));
}

} // namespace peridotgrade
