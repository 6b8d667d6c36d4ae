// The router's search for a place and for a prefill engine.
#include "router_core.h"

#include <algorithm>
#include <utility>

namespace peridotgrade {

namespace {
    // What an answer may take on the way, beyond the time that the agent was given.
    constexpr std::chrono::milliseconds AnswerAllowance { 250 };
    // A prefill that has not answered by then is lost, however far away the deadline is.
    constexpr std::chrono::seconds LongestPrefill { 10 };
    // How often a suspect looks whether its turn has come.
    constexpr std::chrono::milliseconds SuspectRecheck { 20 };

    bool isPlaceRole(EngineRole role) { return role != EngineRole::Prefill; }
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
    if (!this->checkStanding(state))
        return;
    if (!state.resumeUntil)
        ++this->totals.attempts;
    state.askRounds = 0;
    bool hasPrefillEngines = !this->candidates(state, true).empty();
    if (this->chooser->asksPlaceFirst() || !hasPrefillEngines) {
        this->askPlaces(state);
        return;
    }
    this->startPrefill(state, AttemptId { state.request.id, ++state.lastAttempt });
}

bool RouterCore::isPrefillTooLong(const RequestState& state) const
{
    // Later attempts have less time left: a new request would still have it all.
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

bool RouterCore::checkStanding(RequestState& state)
{
    QuarantineState standing = this->quarantine.stateOf(state.fingerprint);
    if (standing == QuarantineState::Quarantined) {
        this->refuse(state, RefusalReason::Quarantined);
        return false;
    }
    state.isSuspect = standing == QuarantineState::Suspect;
    if (!state.isSuspect)
        return true;
    // Two copies of a suspect at once could crash two servers before the first crash is known.
    bool isFirst = this->suspectsInFlight.emplace(state.fingerprint, state.request.id).second;
    if (!isFirst)
        this->setPhaseTimer(state, SuspectRecheck, &RouterCore::startAttempt);
    return isFirst;
}

std::vector<EngineView> RouterCore::candidates(const RequestState& state, bool forPrefill) const
{
    std::vector<EngineView> engines;
    for (const EngineCandidate& candidate : this->view.engines) {
        bool isOfRole = isPlaceRole(candidate.role) != forPrefill;
        bool isUsable = isOfRole && candidate.model == state.request.model
            && this->agents.isUsable(candidate.agent) && !state.avoided.contains(candidate.agent);
        // Role changes may leave an engine in both lists; one attempt must not use it in both roles.
        bool isPlaceHolder = state.place && state.place->agent == candidate.agent;
        if (isUsable && !isPlaceHolder)
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

void RouterCore::askPlaces(RequestState& state)
{
    if (!this->isServed(state.request.model)) {
        this->waitOrRefuse(state, RefusalReason::ModelNotServed);
        return;
    }
    std::vector<EngineView> engines = this->candidates(state, false);
    std::vector<std::size_t> choices = this->chooser->decodeChoices(this->placementRequest(state), engines,
        this->timers.now(), this->random, std::max<std::uint32_t>(1, this->settings.asksAtOnce));
    if (choices.empty()) {
        this->waitOrRefuse(state, RefusalReason::NoCapacity);
        return;
    }
    state.phase = RequestPhase::Placing;
    ++state.askRounds;
    for (std::size_t choice : choices)
        this->askPlace(state, engines[choice]);
}

void RouterCore::askPlace(RequestState& state, const EngineView& engine)
{
    AttemptHold ask { AttemptId { state.request.id, ++state.lastAttempt }, engine.agent, engine.role };
    auto slack = std::chrono::duration_cast<std::chrono::milliseconds>(this->slack(state));
    AskPlace message;
    message.epoch = this->agents.epochOf(engine.agent);
    message.attempt = ask.attempt;
    message.model = state.request.model;
    message.fingerprint = state.fingerprint;
    message.priority = this->priorityOf(state);
    message.promptTokens = state.request.promptTokens + state.nextIndex;
    message.maxOutputTokens = state.request.maxOutputTokens - state.nextIndex;
    message.maxQueueTime = this->queueTimeOf(state, slack);
    message.isSuspect = state.isSuspect;
    message.version = this->view.version;
    this->setPhaseTimer(state, message.maxQueueTime + AnswerAllowance, &RouterCore::onAsksUnanswered);
    this->record(EventKind::PlaceAsked, ask.attempt, engine.agent.raw());
    this->agents.hold(engine.agent, ask.attempt);
    state.asks.push_back(ask);
    this->agents.send(engine.agent, std::move(message));
}

Priority RouterCore::priorityOf(const RequestState& state) const
{
    return state.nextIndex > 0 ? Priority::Urgent : state.request.priority;
}

std::chrono::milliseconds RouterCore::queueTimeOf(
    const RequestState& state, std::chrono::milliseconds slack) const
{
    // A suspect waits for another suspect's end, which takes longer than a place in a busy batch.
    if (state.isSuspect)
        return slack / 2;
    bool isResumed = state.nextIndex > 0;
    return std::min(isResumed ? this->settings.maxResumeQueueTime : this->settings.maxAskQueueTime, slack);
}

void RouterCore::onAsksUnanswered(RequestState& state)
{
    for (const AttemptHold& ask : state.asks) {
        state.avoided.insert(ask.agent);
        this->agents.release(ask.agent, ask.attempt);
    }
    state.asks.clear();
    this->onNoPlace(state);
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
    // Engines that were lost may be back.
    state.avoided.clear();
    state.phase = RequestPhase::Waiting;
    this->setPhaseTimer(state, state.backoff.next(this->random), &RouterCore::startAttempt);
}

void RouterCore::onNoPlace(RequestState& state)
{
    bool hasOthers = !this->candidates(state, false).empty();
    if (state.askRounds < this->settings.askRounds && hasOthers && this->slack(state) > Duration::zero()) {
        this->askPlaces(state);
        return;
    }
    this->releaseAll(state);
    if (state.nextIndex > 0 || this->candidates(state, false).empty()) {
        this->waitOrRefuse(state, RefusalReason::NoCapacity);
        return;
    }
    this->retryOrRefuse(state, RefusalReason::NoCapacity);
}

void RouterCore::takePlace(RequestState& state, const AttemptHold& granted)
{
    std::vector<AttemptHold> others = std::exchange(state.asks, {});
    for (const AttemptHold& other : others) {
        if (other.attempt != granted.attempt)
            this->agents.release(other.agent, other.attempt);
    }
    state.place = granted;
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
    auto choice = this->chooser->prefillChoice(placement, engines, this->timers.now(), this->random);
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
    message.prompt = state.request.prompt + state.sentText;
    message.promptTokens = placement.promptTokens;
    message.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft);
    message.isSuspect = state.isSuspect;
    message.version = this->view.version;
    state.phase = RequestPhase::Prefilling;
    state.prefill = AttemptHold { attempt, agent, EngineRole::Prefill };
    state.mayBeRunning = true;
    state.prefillTokensAtStake = placement.promptTokens;
    this->totals.prefillTokens += placement.promptTokens;
    this->agents.countPrefill(agent, placement.promptTokens);
    this->agents.hold(agent, attempt);
    this->setPhaseTimer(state, std::min<Duration>(timeLeft, LongestPrefill), &RouterCore::onPhaseTooLong);
    this->agents.send(agent, std::move(message));
}

} // namespace peridotgrade
