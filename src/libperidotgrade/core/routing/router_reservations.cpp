// The router's search for a reservation and for a prefill engine.
#include "router_core.h"

#include <algorithm>
#include <utility>

namespace peridotgrade {

namespace {
    // Time allowed for the answer's transit, beyond the time that the agent may queue the request.
    constexpr std::chrono::milliseconds AnswerTimeMargin { 250 };
    // A prefill without an answer after this time counts as lost, however distant the deadline is.
    constexpr std::chrono::seconds MaxPrefillTime { 10 };
    // Interval at which a deferred suspect request checks whether it may start.
    constexpr std::chrono::milliseconds SuspectRecheckInterval { 20 };

    bool canDecode(EngineRole role) { return role != EngineRole::Prefill; }
} // namespace

void RouterCore::startAttempt(RequestState& state)
{
    state.phase = RequestPhase::Waiting;
    if (state.nextIndex >= state.request.maxOutputTokens) {
        this->finish(state, FinishReason::Length);
        return;
    }
    if (this->slack(state) <= Duration::zero()) {
        this->refuse(state, RefusalReason::DeadlineUnreachable);
        return;
    }
    if (this->isPrefillTooLong(state)) {
        this->refuse(state, RefusalReason::DeadlineUnreachable, false);
        return;
    }
    if (!this->checkQuarantine(state))
        return;
    if (!state.resumeUntil)
        ++this->totals.attempts;
    state.reservationRounds = 0;
    bool hasPrefillEngines = !this->candidates(state, true).empty();
    if (this->chooser->reservesBeforePrefill() || !hasPrefillEngines) {
        this->requestReservations(state);
        return;
    }
    this->startPrefill(state, AttemptId { state.request.id, ++state.lastAttempt });
}

bool RouterCore::isPrefillTooLong(const RequestState& state) const
{
    // A retry has little time left; a new request of the caller has all of it and may still succeed.
    if (state.retries > 0)
        return false;
    std::vector<EngineView> engines = this->candidates(state, true);
    std::chrono::duration<double> timeLeft = this->prefillSlack(state);
    return !engines.empty() && std::all_of(engines.begin(), engines.end(), [&](const EngineView& engine) {
        std::uint32_t uncached
            = state.request.promptTokens - std::min(state.request.promptTokens, engine.cachedTokens);
        return uncached > timeLeft.count() * engine.prefillTokensPerSecond
            && engine.prefillTokensPerSecond > 0;
    });
}

bool RouterCore::checkQuarantine(RequestState& state)
{
    QuarantineState quarantineState = this->quarantine.stateOf(state.fingerprint);
    if (quarantineState == QuarantineState::Quarantined) {
        this->refuse(state, RefusalReason::Quarantined);
        return false;
    }
    state.isSuspect = quarantineState == QuarantineState::Suspect;
    if (!state.isSuspect)
        return true;
    // Two concurrent copies of a suspect request could crash two servers before the first crash is known.
    bool isFirst = this->suspectsInFlight.emplace(state.fingerprint, state.request.id).second;
    if (!isFirst)
        this->setPhaseTimer(state, SuspectRecheckInterval, &RouterCore::startAttempt);
    return isFirst;
}

std::vector<EngineView> RouterCore::candidates(const RequestState& state, bool isForPrefill) const
{
    std::vector<EngineView> engines;
    for (const EngineCandidate& candidate : this->view.engines) {
        bool isOfRole = canDecode(candidate.role) != isForPrefill;
        bool isUsable = isOfRole && candidate.model == state.request.model
            && this->agents.isUsable(candidate.agent) && !state.excludedAgents.contains(candidate.agent);
        // A role change may leave an engine in both lists; an attempt must not use one engine in both roles.
        bool isReservationHolder = state.reservation && state.reservation->agent == candidate.agent;
        if (isUsable && !isReservationHolder)
            engines.push_back(this->agents.viewOf(candidate));
    }
    return engines;
}

bool RouterCore::isServed(const ModelId& model) const
{
    return std::any_of(this->view.engines.begin(), this->view.engines.end(),
        [&](const EngineCandidate& candidate) { return candidate.model == model; });
}

PlacementRequest RouterCore::placementRequest(const RequestState& state) const
{
    PlacementRequest placement;
    placement.model = state.request.model;
    placement.entryDataCentre = this->settings.dataCentre;
    placement.promptTokens = state.request.promptTokens + state.nextIndex;
    placement.maxOutputTokens = state.request.maxOutputTokens - state.nextIndex;
    placement.priority = state.request.priority;
    placement.prefillDue = this->timers.now() + this->prefillSlack(state);
    return placement;
}

void RouterCore::requestReservations(RequestState& state)
{
    if (!this->isServed(state.request.model)) {
        this->waitOrRefuse(state, RefusalReason::ModelNotServed);
        return;
    }
    std::vector<EngineView> engines = this->candidates(state, false);
    std::vector<std::size_t> choices
        = this->chooser->chooseDecodeEngines(this->placementRequest(state), engines, this->timers.now(),
            this->random, std::max<std::uint32_t>(1, this->settings.parallelReservationRequests));
    if (choices.empty()) {
        this->waitOrRefuse(state, RefusalReason::NoCapacity);
        return;
    }
    state.phase = RequestPhase::Reserving;
    ++state.reservationRounds;
    for (std::size_t choice : choices)
        this->requestReservation(state, engines[choice]);
}

void RouterCore::requestReservation(RequestState& state, const EngineView& engine)
{
    AgentAttempt pending { AttemptId { state.request.id, ++state.lastAttempt }, engine.agent, engine.role };
    auto slack = std::chrono::duration_cast<std::chrono::milliseconds>(this->slack(state));
    ReservationRequest message;
    message.epoch = this->agents.epochOf(engine.agent);
    message.attempt = pending.attempt;
    message.model = state.request.model;
    message.fingerprint = state.fingerprint;
    message.priority = this->priorityOf(state);
    message.promptTokens = state.request.promptTokens + state.nextIndex;
    message.maxOutputTokens = state.request.maxOutputTokens - state.nextIndex;
    message.maxQueueTime = this->queueTimeOf(state, slack);
    message.isSuspect = state.isSuspect;
    message.version = this->view.version;
    this->setPhaseTimer(state, message.maxQueueTime + AnswerTimeMargin, &RouterCore::onReservationTimeout);
    this->record(EventKind::PlaceAsked, pending.attempt, engine.agent.raw());
    this->agents.track(engine.agent, pending.attempt);
    state.reservationRequests.push_back(pending);
    this->agents.send(engine.agent, std::move(message));
}

Priority RouterCore::priorityOf(const RequestState& state) const
{
    return state.nextIndex > 0 ? Priority::Urgent : state.request.priority;
}

std::chrono::milliseconds RouterCore::queueTimeOf(
    const RequestState& state, std::chrono::milliseconds slack) const
{
    // A suspect request waits for another suspect to end, which takes longer than a wait for a batch slot.
    if (state.isSuspect)
        return slack / 2;
    bool isResumed = state.nextIndex > 0;
    return std::min(
        isResumed ? this->settings.maxResumeQueueTime : this->settings.maxReservationQueueTime, slack);
}

void RouterCore::onReservationTimeout(RequestState& state)
{
    for (const AgentAttempt& pending : state.reservationRequests) {
        state.excludedAgents.insert(pending.agent);
        this->agents.release(pending.agent, pending.attempt);
    }
    state.reservationRequests.clear();
    this->onNoReservation(state);
}

void RouterCore::waitOrRefuse(RequestState& state, RefusalReason reason)
{
    TimePoint now = this->timers.now();
    if (!state.resumeUntil)
        state.resumeUntil = now + this->settings.maxResumeTime;
    if (state.nextIndex == 0 || now >= *state.resumeUntil) {
        this->refuse(state, reason);
        return;
    }
    this->releaseAll(state);
    // Engines that were lost may be available again.
    state.excludedAgents.clear();
    state.phase = RequestPhase::Waiting;
    this->setPhaseTimer(state, state.backoff.next(this->random), &RouterCore::startAttempt);
}

void RouterCore::onNoReservation(RequestState& state)
{
    bool hasOthers = !this->candidates(state, false).empty();
    if (state.reservationRounds < this->settings.reservationRounds && hasOthers
        && this->slack(state) > Duration::zero()) {
        this->requestReservations(state);
        return;
    }
    this->releaseAll(state);
    if (state.nextIndex > 0 || this->candidates(state, false).empty()) {
        this->waitOrRefuse(state, RefusalReason::NoCapacity);
        return;
    }
    this->retryOrRefuse(state, RefusalReason::NoCapacity);
}

void RouterCore::acceptReservation(RequestState& state, const AgentAttempt& granted)
{
    std::vector<AgentAttempt> others = std::exchange(state.reservationRequests, {});
    for (const AgentAttempt& other : others) {
        if (other.attempt != granted.attempt)
            this->agents.release(other.agent, other.attempt);
    }
    state.reservation = granted;
    if (granted.role == EngineRole::Mixed || state.kvCache) {
        this->startDecode(state);
        return;
    }
    this->startPrefill(state, granted.attempt);
}

void RouterCore::startPrefill(RequestState& state, const AttemptId& attempt)
{
    std::vector<EngineView> engines = this->candidates(state, true);
    PlacementRequest placement = this->placementRequest(state);
    auto choice = this->chooser->choosePrefillEngine(placement, engines, this->timers.now(), this->random);
    if (!choice) {
        this->waitOrRefuse(state, RefusalReason::NoCapacity);
        return;
    }
    AgentId agent = engines[*choice].agent;
    Duration timeLeft = this->prefillSlack(state);
    StartPrefill message;
    message.epoch = this->agents.epochOf(agent);
    message.attempt = attempt;
    message.model = state.request.model;
    message.fingerprint = state.fingerprint;
    message.priority = this->priorityOf(state);
    message.prompt = state.request.prompt + state.deliveredText;
    message.promptTokens = placement.promptTokens;
    message.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft);
    message.isSuspect = state.isSuspect;
    message.version = this->view.version;
    state.phase = RequestPhase::Prefilling;
    state.prefill = AgentAttempt { attempt, agent, EngineRole::Prefill };
    state.mayBeRunning = true;
    state.pendingPrefillTokens = placement.promptTokens;
    this->totals.prefillTokens += placement.promptTokens;
    this->agents.countPrefill(agent, placement.promptTokens);
    this->agents.track(agent, attempt);
    this->setPhaseTimer(state, std::min<Duration>(timeLeft, MaxPrefillTime), &RouterCore::onPhaseTooLong);
    this->agents.send(agent, std::move(message));
}

} // namespace peridotgrade
