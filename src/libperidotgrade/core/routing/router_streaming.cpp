// The router's token streams: start, ordering, end.
#include "router_core.h"

#include "peridotgrade/core/base/invariant.h"

#include <utility>

namespace peridotgrade {

void RouterCore::startDecode(RequestState& state)
{
    const AgentAttempt& reservation = *state.reservation;
    StartDecode message;
    message.epoch = this->agents.epochOf(reservation.agent);
    message.attempt = reservation.attempt;
    message.model = state.request.model;
    message.prompt = state.request.prompt + state.deliveredText;
    message.firstIndex = state.nextIndex;
    message.maxOutputTokens = state.request.maxOutputTokens - state.nextIndex;
    message.priority = state.request.priority;
    if (state.kvCache) {
        message.handle = state.kvCache->handle;
        message.exporter = state.kvCache->exporter;
    }
    message.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(this->slack(state));
    message.version = this->view.version;
    state.phase = RequestPhase::Decoding;
    state.decodeStartedAt = this->timers.now();
    state.mayBeRunning = true;
    this->setPhaseTimer(state, this->settings.streamStallTimeout, &RouterCore::onPhaseTooLong);
    if (state.nextIndex > 0)
        this->record(EventKind::AttemptResumed, reservation.attempt, reservation.agent.raw());
    this->agents.send(reservation.agent, std::move(message));
}

void RouterCore::handle(const AgentId& agent, const TokenFrame& message)
{
    RequestState* state = this->find(message.attempt.request);
    bool isCurrent = state && state->phase == RequestPhase::Decoding && state->reservation
        && state->reservation->attempt == message.attempt && state->reservation->agent == agent;
    if (!isCurrent || message.firstIndex < state->nextIndex) {
        this->dropStale(agent, message.attempt, "tokens");
        return;
    }
    if (message.firstIndex > state->nextIndex) {
        // Tokens were lost in transit; the next attempt produces them again.
        this->failAttempt(*state, AttemptFailure::EngineError);
        return;
    }
    this->deliver(*state, message);
}

void RouterCore::deliver(RequestState& state, const TokenFrame& frame)
{
    checkInvariant(frame.firstIndex == state.nextIndex, Invariant::AnswerIsWholeAndOwn,
        "a token is delivered twice or out of order");
    this->onFirstTokenOfAttempt(state);
    if (!state.firstTokenAt) {
        state.firstTokenAt = this->timers.now();
        this->record(EventKind::FirstToken, frame.attempt, state.reservation->agent.raw());
    }
    state.nextIndex += static_cast<std::uint32_t>(frame.pieces.size());
    for (const std::string& piece : frame.pieces)
        state.deliveredText += piece;
    if (!frame.pieces.empty())
        this->actions.emplace_back(DeliverTokens { state.request.id, frame.firstIndex, frame.pieces });
    if (!frame.isLast) {
        this->setPhaseTimer(state, this->settings.streamStallTimeout, &RouterCore::onPhaseTooLong);
        return;
    }
    // The agent freed the reservation with the last token.
    this->agents.forget(state.reservation->agent, state.reservation->attempt);
    this->finish(state, frame.finishReason);
}

void RouterCore::onFirstTokenOfAttempt(RequestState& state)
{
    state.pendingPrefillTokens = 0;
    state.resumeUntil.reset();
    state.backoff.reset();
    if (!state.prefill)
        return;
    this->handover.record(
        state.request.promptTokens + state.nextIndex, this->timers.now() - state.decodeStartedAt);
    this->agents.release(state.prefill->agent, state.prefill->attempt);
    state.prefill.reset();
}

} // namespace peridotgrade
