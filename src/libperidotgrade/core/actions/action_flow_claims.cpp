// Claims of actions: batching, lost acknowledgements, and who won.
#include "action_flow.h"

#include "peridotgrade/core/base/invariant.h"

namespace peridotgrade {

const Claim* ActionFlow::currentClaim(const IdempotencyKey& key) const
{
    const KeyClaims* known = this->claimReplica.find(key);
    return known ? &known->current : nullptr;
}

void ActionFlow::proceed(Pending& pending)
{
    const Claim* current = this->currentClaim(pending.key);
    if (!current) {
        this->claim(pending, std::nullopt);
        return;
    }
    if (current->content != pending.content) {
        this->endNotRun(pending, RefusalReason::KeyConflict);
        return;
    }
    bool isOwnAndUnstarted = current->nonce == pending.claim.nonce && !pending.mayHaveStarted;
    if (isOwnAndUnstarted)
        this->claim(pending, current->nonce);
    else
        this->queryAgent(pending, *current);
}

void ActionFlow::claim(Pending& pending, std::optional<ClaimNonce> supersedes)
{
    if (this->claimReplica.isForgotten(pending.key)) {
        this->endNotRun(pending, RefusalReason::KeyTooOld);
        return;
    }
    if (!this->isLogAvailable) {
        this->endNotRun(pending, RefusalReason::LogUnavailable);
        return;
    }
    const KeyClaims* known = this->claimReplica.find(pending.key);
    auto target = this->context.agents.choose(pending.service, this->context.settings.dataCentre,
        known ? known->namedIncarnations : std::vector<AgentIncarnation> {}, this->context.random);
    if (!target) {
        this->endNotRun(pending, RefusalReason::NoCapacity);
        return;
    }
    Claim claim;
    claim.key = pending.key;
    claim.entry = this->context.settings.entry;
    claim.nonce = ClaimNonce { this->context.random.next() };
    claim.agent = target->agent;
    claim.agentIncarnation = target->incarnation;
    claim.supersedes = supersedes;
    claim.content = pending.content;
    pending.claim = std::move(claim);
    this->addToBatch(pending);
}

void ActionFlow::addToBatch(Pending& pending)
{
    pending.stage = ActionStage::Batched;
    this->batchedKeys.push_back(pending.key);
    if (this->batchTimer)
        return;
    this->batchTimer = this->context.timers.subscribeAfter(
        this->context.settings.batchDelay, [this] { this->flushBatch(); });
}

bool ActionFlow::canStillWin(const Pending& pending) const
{
    const Claim* current = this->currentClaim(pending.key);
    if (!current)
        return !pending.claim.supersedes;
    return pending.claim.supersedes == current->nonce;
}

void ActionFlow::rebatch(Pending& pending)
{
    // The claim keeps its nonce: if both copies get into the log, the second one is void.
    if (this->canStillWin(pending))
        this->addToBatch(pending);
    else
        this->proceed(pending);
}

void ActionFlow::flushBatch()
{
    this->batchTimer.reset();
    std::vector<IdempotencyKey> keys;
    keys.swap(this->batchedKeys);
    AppendClaims append;
    append.append = AppendId { ++this->lastAppend };
    std::vector<ClaimInFlight> inFlight;
    for (const IdempotencyKey& key : keys) {
        Pending* pending = this->find(key);
        if (!pending || pending->stage != ActionStage::Batched)
            continue;
        if (!this->canStillWin(*pending)) {
            this->proceed(*pending);
            continue;
        }
        pending->stage = ActionStage::Appending;
        append.records.push_back(encodeClaim(pending->claim));
        inFlight.push_back({ key, pending->claim.nonce });
        this->context.record(
            EventKind::ClaimAppended, pending->attempt(), pending->claim.agent.raw(), key.raw());
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
        Pending* pending = this->find(claim.key);
        if (!pending || pending->stage != ActionStage::Appending)
            continue;
        if (pending->claim.nonce == claim.nonce)
            this->onClaimAppendEnded(*pending, result);
    }
}

void ActionFlow::onClaimAppendEnded(Pending& pending, AppendResult result)
{
    if (!this->isLogAvailable) {
        this->endNotRun(pending, RefusalReason::LogUnavailable);
        return;
    }
    switch (result) {
    case AppendResult::Appended:
        pending.stage = ActionStage::Appended;
        return;
    case AppendResult::Unknown:
        pending.stage = ActionStage::AppendUnknown;
        pending.appendEndedAt = this->context.timers.now();
        return;
    case AppendResult::Refused:
        this->onAppendRefused(pending);
        return;
    }
}

void ActionFlow::onAppendRefused(Pending& pending)
{
    pending.stage = ActionStage::AppendRefused;
    Duration wait = pending.appendBackoff.next(this->context.random);
    pending.waitTimer = this->context.timers.subscribeAfter(wait, [this, key = pending.key] {
        Pending* waiting = this->find(key);
        if (waiting && waiting->stage == ActionStage::AppendRefused)
            this->rebatch(*waiting);
    });
}

void ActionFlow::onCaughtUp(TimePoint readBegan)
{
    auto missing = this->select([&](const Pending& pending) {
        return pending.stage == ActionStage::AppendUnknown && pending.appendEndedAt <= readBegan;
    });
    for (const IdempotencyKey& key : missing) {
        Pending* pending = this->find(key);
        if (pending && this->isLogAvailable)
            this->rebatch(*pending);
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
    bool isCurrent = this->claimReplica.apply(claim);
    Pending* pending = this->find(claim.key);
    if (!pending)
        return;
    if (pending->awaitsOwnClaim()) {
        if (pending->claim.nonce == claim.nonce)
            this->onOwnClaimRead(*pending);
        return;
    }
    // The agent of the superseding claim is now the one that can report the result.
    if (isCurrent && pending->stage == ActionStage::Querying)
        this->queryAgent(*pending, claim);
}

void ActionFlow::onOwnClaimRead(Pending& pending)
{
    const Claim* current = this->currentClaim(pending.key);
    if (current && current->nonce == pending.claim.nonce) {
        this->onClaimWon(pending);
        return;
    }
    this->context.record(EventKind::ClaimLost, pending.attempt(), pending.key.raw());
    if (current)
        this->proceed(pending);
    else
        this->endNotRun(pending, RefusalReason::KeyTooOld);
}

void ActionFlow::onClaimWon(Pending& pending)
{
    this->context.record(EventKind::ClaimWon, pending.attempt(), pending.key.raw());
    const Claim& claim = pending.claim;
    AgentIncarnation target { claim.agent, claim.agentIncarnation };
    bool isReachable = this->context.agents.incarnationOf(claim.agent) == claim.agentIncarnation;
    if (isReachable && !this->context.agents.isDraining(claim.agent))
        this->start(pending, target);
    else
        this->proceed(pending);
}

} // namespace peridotgrade
