// Actions at their agents: the start, questions about others' claims, and what the answers mean.
#include "action_flow.h"

#include "peridotgrade/core/base/invariant.h"

namespace peridotgrade {

void ActionFlow::start(Conversation& conversation, const AgentRun& run)
{
    auto timeLeft = this->context.timeLeft(conversation.deadline);
    if (timeLeft.count() <= 0) {
        this->endNotRun(conversation, RefusalReason::DeadlineUnreachable);
        return;
    }
    checkInvariant(!conversation.mayHaveStarted, Invariant::ActionAtMostOnce, conversation.key.raw());
    conversation.stage = ActionStage::Sent;
    conversation.mayHaveStarted = true;
    conversation.hasAsked = false;
    ++conversation.exchange;

    StartAction message;
    message.attempt = conversation.attempt();
    message.key = conversation.key;
    message.nonce = conversation.claim.nonce;
    message.incarnation = run.incarnation;
    message.call = conversation.call;
    message.timeLeft = timeLeft;
    this->context.record(EventKind::ActionStarted, message.attempt, run.agent.raw(), conversation.key.raw());
    this->context.send(run.agent, std::move(message));
}

void ActionFlow::inquire(Conversation& conversation, const Claim& target)
{
    if (target.content != conversation.content) {
        this->endNotRun(conversation, RefusalReason::KeyConflict);
        return;
    }
    conversation.stage = ActionStage::Inquiring;
    conversation.target = target;
    // What an earlier target's agent still has to say must not be taken for the new one's word.
    ++conversation.exchange;
    this->context.timers.cancel(conversation.pause);
    if (this->context.agents.runOf(conversation.target.agent))
        this->ask(conversation, conversation.target, false);
}

void ActionFlow::ask(Conversation& conversation, const Claim& target, bool seal)
{
    if (this->context.agents.runOf(target.agent) != target.agentIncarnation) {
        // Its table is gone, and with it the only word on whether the action was started.
        this->endUnknown(conversation, RefusalReason::BackendLost);
        return;
    }
    conversation.hasAsked = true;
    ++conversation.exchange;
    QueryAction query;
    query.attempt = conversation.attempt();
    query.key = conversation.key;
    query.incarnation = target.agentIncarnation;
    query.seal = seal;
    this->context.send(target.agent, std::move(query));
}

void ActionFlow::onAgentConnected(const AgentId& agent)
{
    auto concerned = this->select([&](const Conversation& conversation) {
        if (conversation.stage == ActionStage::Sent)
            return conversation.claim.agent == agent;
        return conversation.stage == ActionStage::Inquiring && conversation.target.agent == agent;
    });
    for (const IdempotencyKey& key : concerned)
        this->askAgain(*this->find(key));
}

void ActionFlow::askAgain(Conversation& conversation)
{
    // The start may have been lost with the connection, or still be on its way: sealing settles it.
    if (conversation.stage == ActionStage::Sent)
        this->ask(conversation, conversation.claim, true);
    else
        this->ask(conversation, conversation.target, false);
}

void ActionFlow::onAgentLost(const AgentId& agent)
{
    auto concerned = this->select([&](const Conversation& conversation) {
        return conversation.stage == ActionStage::Inquiring && conversation.target.agent == agent;
    });
    for (const IdempotencyKey& key : concerned)
        this->context.timers.cancel(this->find(key)->pause);
}

void ActionFlow::onReport(const AgentId& agent, const ActionReport& report)
{
    Conversation* conversation = this->find(report.key);
    bool isAwaited = conversation && !conversation->awaitsOwnClaim()
        && conversation->attempt() == report.attempt && conversation->askedAgent() == agent;
    if (!isAwaited) {
        this->context.record(EventKind::StaleMessageDropped, report.attempt, agent.raw());
        return;
    }
    switch (report.state) {
    case ActionState::Answered:
        this->finish(*conversation, report.answer);
        return;
    case ActionState::Running:
        return;
    case ActionState::Lost:
        this->endUnknown(*conversation, RefusalReason::BackendLost);
        return;
    case ActionState::Forgotten:
        this->endRan(*conversation);
        return;
    default:
        break;
    }
    if (conversation->stage == ActionStage::Sent)
        this->onStartReported(*conversation, report);
    else
        this->onInquiryReported(*conversation, report);
}

void ActionFlow::onStartReported(Conversation& conversation, const ActionReport& report)
{
    switch (report.state) {
    case ActionState::Sealed:
    case ActionState::RefusedUnstarted:
        this->onNeverStarted(conversation);
        return;
    case ActionState::WrongIncarnation:
        // The start itself reached another run than the one that it names, so that run never had it. Said of
        // a question it only means that the run which may have had it is gone.
        if (conversation.hasAsked)
            this->endUnknown(conversation, RefusalReason::BackendLost);
        else
            this->onNeverStarted(conversation);
        return;
    default:
        return;
    }
}

void ActionFlow::onNeverStarted(Conversation& conversation)
{
    conversation.mayHaveStarted = false;
    this->proceed(conversation);
}

void ActionFlow::onInquiryReported(Conversation& conversation, const ActionReport& report)
{
    switch (report.state) {
    case ActionState::Absent:
        this->onAbsent(conversation);
        return;
    case ActionState::Sealed:
    case ActionState::RefusedUnstarted:
        this->context.record(EventKind::ActionSealed, conversation.attempt(), conversation.key.raw());
        this->claim(conversation, conversation.target.nonce);
        return;
    case ActionState::WrongIncarnation:
        this->endUnknown(conversation, RefusalReason::BackendLost);
        return;
    default:
        return;
    }
}

void ActionFlow::onAbsent(Conversation& conversation)
{
    // The holder of the claim may be about to start it; sealing at once would take that from it.
    conversation.pause = this->context.timers.scheduleAfter(
        this->context.settings.sealGrace, [this, key = conversation.key] {
            Conversation* waiting = this->find(key);
            if (waiting && waiting->stage == ActionStage::Inquiring)
                this->ask(*waiting, waiting->target, true);
        });
}

} // namespace peridotgrade
