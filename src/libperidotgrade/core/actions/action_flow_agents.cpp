// Actions at their agents: starts, queries about claims of others, and handling of reports.
#include "action_flow.h"

#include "peridotgrade/core/base/invariant.h"

namespace peridotgrade {

void ActionFlow::start(Pending& pending, const AgentIncarnation& target)
{
    auto timeLeft = this->context.timeLeft(pending.deadline);
    if (timeLeft.count() <= 0) {
        this->endNotRun(pending, RefusalReason::DeadlineUnreachable);
        return;
    }
    checkInvariant(!pending.mayHaveStarted, Invariant::ActionAtMostOnce, pending.key.raw());
    pending.stage = ActionStage::Sent;
    pending.mayHaveStarted = true;
    pending.hasSentQuery = false;
    ++pending.attemptNumber;

    StartAction message;
    message.attempt = pending.attempt();
    message.key = pending.key;
    message.nonce = pending.claim.nonce;
    message.incarnation = target.incarnation;
    message.call = pending.call;
    message.timeLeft = timeLeft;
    this->context.record(EventKind::ActionStarted, message.attempt, target.agent.raw(), pending.key.raw());
    this->context.send(target.agent, std::move(message));
}

void ActionFlow::queryAgent(Pending& pending, const Claim& queriedClaim)
{
    if (queriedClaim.content != pending.content) {
        this->endNotRun(pending, RefusalReason::KeyConflict);
        return;
    }
    pending.stage = ActionStage::Querying;
    pending.queriedClaim = queriedClaim;
    // A late report from the agent queried before must not be taken for an answer about the new claim.
    ++pending.attemptNumber;
    this->context.timers.cancel(pending.waitTimer);
    if (this->context.agents.incarnationOf(pending.queriedClaim.agent))
        this->sendQuery(pending, pending.queriedClaim, false);
}

void ActionFlow::sendQuery(Pending& pending, const Claim& queriedClaim, bool seal)
{
    if (this->context.agents.incarnationOf(queriedClaim.agent) != queriedClaim.agentIncarnation) {
        // The key table that could tell whether the action was started is lost.
        this->endUnknown(pending, RefusalReason::BackendLost);
        return;
    }
    pending.hasSentQuery = true;
    ++pending.attemptNumber;
    QueryAction query;
    query.attempt = pending.attempt();
    query.key = pending.key;
    query.incarnation = queriedClaim.agentIncarnation;
    query.seal = seal;
    this->context.send(queriedClaim.agent, std::move(query));
}

void ActionFlow::onAgentConnected(const AgentId& agent)
{
    auto affected = this->select([&](const Pending& pending) {
        if (pending.stage == ActionStage::Sent)
            return pending.claim.agent == agent;
        return pending.stage == ActionStage::Querying && pending.queriedClaim.agent == agent;
    });
    for (const IdempotencyKey& key : affected)
        this->resendQuery(*this->find(key));
}

void ActionFlow::resendQuery(Pending& pending)
{
    // The start may have been lost with the connection or still be in flight; a tombstone settles which.
    if (pending.stage == ActionStage::Sent)
        this->sendQuery(pending, pending.claim, true);
    else
        this->sendQuery(pending, pending.queriedClaim, false);
}

void ActionFlow::onAgentLost(const AgentId& agent)
{
    auto affected = this->select([&](const Pending& pending) {
        return pending.stage == ActionStage::Querying && pending.queriedClaim.agent == agent;
    });
    for (const IdempotencyKey& key : affected)
        this->context.timers.cancel(this->find(key)->waitTimer);
}

void ActionFlow::onReport(const AgentId& agent, const ActionReport& report)
{
    Pending* pending = this->find(report.key);
    bool isAwaited = pending && !pending->awaitsOwnClaim() && pending->attempt() == report.attempt
        && pending->awaitedAgent() == agent;
    if (!isAwaited) {
        this->context.record(EventKind::StaleMessageDropped, report.attempt, agent.raw());
        return;
    }
    switch (report.state) {
    case ActionState::Answered:
        this->finish(*pending, report.answer);
        return;
    case ActionState::Running:
        return;
    case ActionState::Lost:
        this->endUnknown(*pending, RefusalReason::BackendLost);
        return;
    case ActionState::Forgotten:
        this->endResultNotKept(*pending);
        return;
    default:
        break;
    }
    if (pending->stage == ActionStage::Sent)
        this->onStartReported(*pending, report);
    else
        this->onQueryReported(*pending, report);
}

void ActionFlow::onStartReported(Pending& pending, const ActionReport& report)
{
    switch (report.state) {
    case ActionState::Sealed:
    case ActionState::RefusedUnstarted:
        this->onNeverStarted(pending);
        return;
    case ActionState::WrongIncarnation:
        // A start rejected by another incarnation was never seen by the one that it names. A query rejected
        // that way only means that the incarnation which may have started the action has ended.
        if (pending.hasSentQuery)
            this->endUnknown(pending, RefusalReason::BackendLost);
        else
            this->onNeverStarted(pending);
        return;
    default:
        return;
    }
}

void ActionFlow::onNeverStarted(Pending& pending)
{
    pending.mayHaveStarted = false;
    this->proceed(pending);
}

void ActionFlow::onQueryReported(Pending& pending, const ActionReport& report)
{
    switch (report.state) {
    case ActionState::Absent:
        this->onAbsent(pending);
        return;
    case ActionState::Sealed:
    case ActionState::RefusedUnstarted:
        this->context.record(EventKind::ActionSealed, pending.attempt(), pending.key.raw());
        this->claim(pending, pending.queriedClaim.nonce);
        return;
    case ActionState::WrongIncarnation:
        this->endUnknown(pending, RefusalReason::BackendLost);
        return;
    default:
        return;
    }
}

void ActionFlow::onAbsent(Pending& pending)
{
    // The claim's owner may be about to start the action; a tombstone now would prevent that.
    pending.waitTimer = this->context.timers.subscribeAfter(
        this->context.settings.tombstoneDelay, [this, key = pending.key] {
            Pending* waiting = this->find(key);
            if (waiting && waiting->stage == ActionStage::Querying)
                this->sendQuery(*waiting, waiting->queriedClaim, true);
        });
}

} // namespace peridotgrade
