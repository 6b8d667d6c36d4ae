// Claims of actions: batches, lost answers, and who won.
#include "action_flow.h"

#include "peridotgrade/core/base/invariant.h"

namespace peridotgrade {

const Claim* ActionFlow::currentClaim(const IdempotencyKey& key) const
{
    const KeyClaims* known = this->fold.find(key);
    return known ? &known->current : nullptr;
}

void ActionFlow::proceed(Conversation& conversation)
{
    const Claim* current = this->currentClaim(conversation.key);
    if (!current) {
        this->claim(conversation, std::nullopt);
        return;
    }
    if (current->content != conversation.content) {
        this->endNotRun(conversation, RefusalReason::KeyConflict);
        return;
    }
    bool isOwnAndDead = current->nonce == conversation.claim.nonce && !conversation.mayHaveStarted;
    if (isOwnAndDead)
        this->claim(conversation, current->nonce);
    else
        this->inquire(conversation, *current);
}

void ActionFlow::claim(Conversation& conversation, std::optional<ClaimNonce> supersedes)
{
    if (this->fold.isForgotten(conversation.key)) {
        this->endNotRun(conversation, RefusalReason::KeyTooOld);
        return;
    }
    if (!this->isLogAvailable) {
        this->endNotRun(conversation, RefusalReason::LogUnavailable);
        return;
    }
    const KeyClaims* known = this->fold.find(conversation.key);
    auto run = this->context.agents.choose(conversation.service, this->context.settings.dataCentre,
        known ? known->namedRuns : std::vector<AgentRun> {}, this->context.random);
    if (!run) {
        this->endNotRun(conversation, RefusalReason::NoCapacity);
        return;
    }
    Claim claim;
    claim.key = conversation.key;
    claim.entry = this->context.settings.entry;
    claim.nonce = ClaimNonce { this->context.random.next() };
    claim.agent = run->agent;
    claim.agentIncarnation = run->incarnation;
    claim.supersedes = supersedes;
    claim.content = conversation.content;
    conversation.claim = std::move(claim);
    this->batch(conversation);
}

void ActionFlow::batch(Conversation& conversation)
{
    conversation.stage = ActionStage::Batched;
    this->batched.push_back(conversation.key);
    if (this->batchTimer)
        return;
    this->batchTimer = this->context.timers.scheduleAfter(
        this->context.settings.batchDelay, [this] { this->flushBatch(); });
}

bool ActionFlow::isWorthAppending(const Conversation& conversation) const
{
    const Claim* current = this->currentClaim(conversation.key);
    if (!current)
        return !conversation.claim.supersedes;
    return conversation.claim.supersedes == current->nonce;
}

void ActionFlow::batchAgain(Conversation& conversation)
{
    // The same claim with the same nonce: should both get into the log, the second one is void.
    if (this->isWorthAppending(conversation))
        this->batch(conversation);
    else
        this->proceed(conversation);
}

void ActionFlow::flushBatch()
{
    this->batchTimer.reset();
    std::vector<IdempotencyKey> keys;
    keys.swap(this->batched);
    AppendClaims append;
    append.append = AppendId { ++this->lastAppend };
    std::vector<ClaimInFlight> inFlight;
    for (const IdempotencyKey& key : keys) {
        Conversation* conversation = this->find(key);
        if (!conversation || conversation->stage != ActionStage::Batched)
            continue;
        if (!this->isWorthAppending(*conversation)) {
            this->proceed(*conversation);
            continue;
        }
        conversation->stage = ActionStage::Appending;
        append.records.push_back(encodeClaim(conversation->claim));
        inFlight.push_back({ key, conversation->claim.nonce });
        this->context.record(
            EventKind::ClaimAppended, conversation->attempt(), conversation->claim.agent.raw(), key.raw());
    }
    if (inFlight.empty())
        return;
    ++this->context.counters.appends;
    this->context.counters.claimsAppended += inFlight.size();
    this->appends.emplace(append.append, std::move(inFlight));
    this->context.actions.push_back(std::move(append));
}

void ActionFlow::onAppendResult(AppendId append, AppendResult result)
{
    auto found = this->appends.find(append);
    if (found == this->appends.end())
        return;
    std::vector<ClaimInFlight> inFlight = std::move(found->second);
    this->appends.erase(found);
    for (const ClaimInFlight& claim : inFlight) {
        Conversation* conversation = this->find(claim.key);
        if (!conversation || conversation->stage != ActionStage::Appending)
            continue;
        if (conversation->claim.nonce == claim.nonce)
            this->onClaimAppendEnded(*conversation, result);
    }
}

void ActionFlow::onClaimAppendEnded(Conversation& conversation, AppendResult result)
{
    if (!this->isLogAvailable) {
        this->endNotRun(conversation, RefusalReason::LogUnavailable);
        return;
    }
    switch (result) {
    case AppendResult::Appended:
        conversation.stage = ActionStage::Appended;
        return;
    case AppendResult::Unknown:
        conversation.stage = ActionStage::AppendUnknown;
        conversation.appendEndedAt = this->context.timers.now();
        return;
    case AppendResult::Refused:
        this->onAppendRefused(conversation);
        return;
    }
}

void ActionFlow::onAppendRefused(Conversation& conversation)
{
    conversation.stage = ActionStage::AppendRefused;
    Duration wait = conversation.appendBackoff.next(this->context.random);
    conversation.pause = this->context.timers.scheduleAfter(wait, [this, key = conversation.key] {
        Conversation* waiting = this->find(key);
        if (waiting && waiting->stage == ActionStage::AppendRefused)
            this->batchAgain(*waiting);
    });
}

void ActionFlow::onCaughtUp(TimePoint readBegan)
{
    auto missing = this->select([&](const Conversation& conversation) {
        return conversation.stage == ActionStage::AppendUnknown && conversation.appendEndedAt <= readBegan;
    });
    for (const IdempotencyKey& key : missing) {
        Conversation* conversation = this->find(key);
        if (conversation && this->isLogAvailable)
            this->batchAgain(*conversation);
    }
}

void ActionFlow::onRecords(const std::vector<LogRecord>& records)
{
    for (const LogRecord& record : records) {
        this->lastRecordAt = record.appendedAt;
        auto decoded = decodeClaim(record.data);
        if (const Claim* claim = std::get_if<Claim>(&decoded))
            this->onClaimRead(*claim);
    }
}

void ActionFlow::onClaimRead(const Claim& claim)
{
    bool isCurrent = this->fold.apply(claim);
    Conversation* conversation = this->find(claim.key);
    if (!conversation)
        return;
    if (conversation->awaitsOwnClaim()) {
        if (conversation->claim.nonce == claim.nonce)
            this->onOwnClaimRead(*conversation);
        return;
    }
    // Whoever replaced the claim that is asked about has the answer now.
    if (isCurrent && conversation->stage == ActionStage::Inquiring)
        this->inquire(*conversation, claim);
}

void ActionFlow::onOwnClaimRead(Conversation& conversation)
{
    const Claim* current = this->currentClaim(conversation.key);
    if (current && current->nonce == conversation.claim.nonce) {
        this->onClaimWon(conversation);
        return;
    }
    this->context.record(EventKind::ClaimLost, conversation.attempt(), conversation.key.raw());
    if (current)
        this->proceed(conversation);
    else
        this->endNotRun(conversation, RefusalReason::KeyTooOld);
}

void ActionFlow::onClaimWon(Conversation& conversation)
{
    this->context.record(EventKind::ClaimWon, conversation.attempt(), conversation.key.raw());
    const Claim& claim = conversation.claim;
    AgentRun run { claim.agent, claim.agentIncarnation };
    bool isReachable = this->context.agents.runOf(claim.agent) == claim.agentIncarnation;
    if (isReachable && !this->context.agents.isDraining(claim.agent))
        this->start(conversation, run);
    else
        this->proceed(conversation);
}

} // namespace peridotgrade
