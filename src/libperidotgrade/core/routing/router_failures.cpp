// The router's handling of failures, retries and final answers.
#include "router_core.h"

#include "peridotgrade/core/base/invariant.h"

#include <utility>

namespace peridotgrade {

namespace {
    // A request is not run again after this many engines died while running it, whatever else ran on them.
    constexpr std::uint32_t CrashCap = 2;
    // Retry-After if no agent reported an expected wait.
    constexpr std::chrono::milliseconds DefaultRetryAfter { 1000 };

    // An agent that reports one of these reasons has not sent the prefill to its engine.
    bool provesNotRun(AttemptFailure reason)
    {
        return reason == AttemptFailure::TooLate || reason == AttemptFailure::Draining
            || reason == AttemptFailure::SuspectPresent;
    }
} // namespace

void RouterCore::failAttempt(RequestState& state, AttemptFailure reason)
{
    AttemptId attempt { state.request.id, state.lastAttempt };
    this->record(EventKind::AttemptFailed, attempt, {}, std::string(nameOf(reason)));
    if (reason == AttemptFailure::EngineDied && state.mayBeRunning)
        ++state.crashes;
    checkInvariant(state.crashes <= CrashCap, Invariant::CrashCapHolds,
        "a request ran on another engine after the crash cap");
    this->releaseAll(state);
    if (state.crashes >= CrashCap) {
        this->refuse(state, RefusalReason::BackendLost);
        return;
    }
    this->retryOrRefuse(state, RefusalReason::BackendLost);
}

void RouterCore::retryOrRefuse(RequestState& state, RefusalReason reason)
{
    state.phase = RequestPhase::Waiting;
    if (state.retries >= this->settings.maxRetries) {
        this->refuse(state, reason);
        return;
    }
    Duration wait = state.backoff.next(this->random);
    if (wait >= this->slack(state)) {
        this->refuse(state, RefusalReason::DeadlineUnreachable);
        return;
    }
    // Resumed answers add no requests and need no retry budget; open streams and maxRetries bound them.
    bool isResumed = state.nextIndex > 0;
    if (!isResumed && !this->retryBudget.trySpend()) {
        this->refuse(state, RefusalReason::RetryBudgetSpent);
        return;
    }
    ++state.retries;
    ++this->totals.retries;
    this->setPhaseTimer(state, wait, &RouterCore::startAttempt);
}

void RouterCore::releaseAll(RequestState& state)
{
    this->clearPhaseTimer(state);
    for (const AgentAttempt& pending : state.reservationRequests)
        this->agents.release(pending.agent, pending.attempt);
    state.reservationRequests.clear();
    if (state.reservation)
        this->agents.release(state.reservation->agent, state.reservation->attempt);
    state.reservation.reset();
    if (state.prefill)
        this->agents.release(state.prefill->agent, state.prefill->attempt);
    state.prefill.reset();
    state.kvCache.reset();
    this->totals.prefillTokensWasted += std::exchange(state.pendingPrefillTokens, 0);
    state.hasRun = state.hasRun || std::exchange(state.mayBeRunning, false);
    auto suspect = this->suspectsInFlight.find(state.fingerprint);
    if (suspect != this->suspectsInFlight.end() && suspect->second == state.request.id)
        this->suspectsInFlight.erase(suspect);
}

void RouterCore::finish(RequestState& state, FinishReason reason)
{
    ++this->totals.answered;
    if (state.firstTokenAt && *state.firstTokenAt <= state.request.firstTokenDue)
        ++this->totals.answeredWithinFirstTokenTarget;
    this->retryBudget.recordSuccess();
    this->quarantine.recordAnswered(state.fingerprint);
    AttemptId attempt { state.request.id, state.lastAttempt };
    this->record(EventKind::RequestFinished, attempt, {});
    FinishAnswer answer;
    answer.request = state.request.id;
    answer.finishReason = reason;
    answer.promptTokens = state.request.promptTokens;
    answer.outputTokens = state.nextIndex;
    this->erase(state);
    this->actions.emplace_back(answer);
}

void RouterCore::refuse(RequestState& state, RefusalReason reason, bool isWorthRetrying)
{
    this->releaseAll(state);
    ++this->totals.refused;
    Refusal refusal;
    refusal.reason = reason;
    refusal.outcome = state.hasRun ? Outcome::Unknown : Outcome::NotRun;
    checkInvariant(state.nextIndex == 0 || state.hasRun, Invariant::NotRunMeansNotRun,
        "a request with delivered tokens counts as not run");
    if (isWorthRetrying && reason != RefusalReason::Quarantined)
        refusal.retryAfter = state.shortestExpectedWait.value_or(DefaultRetryAfter);
    AttemptId attempt { state.request.id, state.lastAttempt };
    this->record(EventKind::RequestRefused, attempt, {}, std::string(nameOf(reason)));
    RequestId id = state.request.id;
    this->erase(state);
    this->actions.emplace_back(RefuseRequest { id, refusal });
}

void RouterCore::refuseAtOnce(const ModelRequest& request, RefusalReason reason)
{
    ++this->totals.refused;
    this->record(EventKind::RequestRefused, AttemptId { request.id, 0 }, {}, std::string(nameOf(reason)));
    Refusal refusal;
    refusal.reason = reason;
    this->actions.emplace_back(RefuseRequest { request.id, refusal });
}

void RouterCore::erase(RequestState& state)
{
    this->releaseAll(state);
    if (state.deadlineTimer)
        this->timers.cancel(*state.deadlineTimer);
    RequestId id = state.request.id;
    checkInvariant(!this->agents.holdsAnyOf(id), Invariant::NoMemoryHeldForGoneRequest,
        "an ended request still holds resources");
    bool wasOpen = this->requests.erase(id) == 1;
    checkInvariant(wasOpen, Invariant::NoRequestAnsweredTwice, "a request ended twice");
}

void RouterCore::handle(const AgentId& agent, const AttemptFailed& message)
{
    this->agents.onLoad(agent, message.load);
    RequestState* state = this->find(message.attempt.request);
    bool isOfPrefill = state && state->prefill && state->prefill->attempt == message.attempt
        && state->prefill->agent == agent && state->phase == RequestPhase::Prefilling;
    if (isOfPrefill && provesNotRun(message.reason))
        state->mayBeRunning = false;
    this->agents.forget(agent, message.attempt);
    this->failAgentAttempt(agent, message.attempt, message.reason);
}

} // namespace peridotgrade
