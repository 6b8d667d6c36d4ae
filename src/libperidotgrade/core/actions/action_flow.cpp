// Requests for actions: admission, sharing, deadlines and final answers.
#include "action_flow.h"

#include "call_content.h"
#include "peridotgrade/core/base/invariant.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    constexpr std::chrono::milliseconds ActionRetryAfter { 1000 };
    constexpr std::chrono::milliseconds InitialAppendBackoff { 20 };
    constexpr std::chrono::milliseconds MaxAppendBackoff { 500 };
    /// Claims are remembered this much longer than keys are admitted.
    constexpr std::chrono::milliseconds ClaimRetentionMargin { std::chrono::minutes { 5 } };
    /// Bound on the difference between the clocks of entries, callers and the log.
    constexpr std::chrono::milliseconds MaxClockSkew { std::chrono::minutes { 1 } };

} // namespace

ActionFlow::ActionFlow(CallContext& context)
    : context(context)
{
}

ActionFlow::~ActionFlow()
{
    if (this->batchTimer)
        this->context.timers.cancel(*this->batchTimer);
    for (const auto& [key, pending] : this->pendingActions)
        this->cancelTimers(pending);
}

// Requests.

void ActionFlow::submit(CallRequest request, WallTime now)
{
    ++this->context.counters.actions;
    this->context.record(EventKind::RequestArrived, { request.id, 0 }, request.service.raw());
    this->updateClock(now);
    IdempotencyKey key = scopedKey(request.workspace, request.service, request.key);
    if (this->isRefusedForAge(request.id, key, now))
        return;
    Fingerprint content = contentOf(request.call);
    if (Pending* shared = this->find(key))
        this->join(*shared, request, content);
    else
        this->open(std::move(request), key, content);
}

bool ActionFlow::isRefusedForAge(RequestId request, const IdempotencyKey& key, WallTime now)
{
    auto time = creationTimeOf(key);
    const ActionRouterSettings& settings = this->context.settings;
    if (time && *time > now + settings.maxKeyAhead) {
        this->context.refuse(request, RefusalReason::KeyFromFuture, Outcome::NotRun, std::nullopt);
        return true;
    }
    if (time && *time >= now - this->longestKeyAge() && !this->claimReplica.isForgotten(key))
        return false;
    this->context.refuse(request, RefusalReason::KeyTooOld, Outcome::NotRun, std::nullopt);
    return true;
}

void ActionFlow::open(CallRequest request, const IdempotencyKey& key, Fingerprint content)
{
    Backoff backoff(InitialAppendBackoff, MaxAppendBackoff);
    Pending& pending = this->pendingActions.emplace(key, Pending(backoff)).first->second;
    pending.key = key;
    pending.id = request.id;
    pending.service = request.service;
    pending.content = content;
    this->addWaiter(pending, request);
    pending.call = std::move(request.call);
    this->proceed(pending);
}

void ActionFlow::join(Pending& pending, const CallRequest& request, Fingerprint content)
{
    if (pending.content != content) {
        this->context.refuse(request.id, RefusalReason::KeyConflict, Outcome::NotRun, std::nullopt);
        return;
    }
    this->addWaiter(pending, request);
}

void ActionFlow::addWaiter(Pending& pending, const CallRequest& request)
{
    ActionWaiter waiter;
    waiter.request = request.id;
    waiter.deadline = this->context.timers.subscribeAt(
        request.deadline, [this, key = pending.key, id = request.id] { this->onDeadline(key, id); });
    pending.waiters.push_back(waiter);
    pending.deadline = std::max(pending.deadline, request.deadline);
}

void ActionFlow::cancel(RequestId request)
{
    for (auto& [key, pending] : this->pendingActions) {
        auto& waiters = pending.waiters;
        auto waiter = std::find_if(
            waiters.begin(), waiters.end(), [&](const ActionWaiter& w) { return w.request == request; });
        if (waiter == waiters.end())
            continue;
        waiter->isConnected = false;
        if (waiters.size() == 1 && pending.stage == ActionStage::Batched)
            this->forget(pending);
        return;
    }
}

void ActionFlow::onDeadline(const IdempotencyKey& key, RequestId request)
{
    Pending* pending = this->find(key);
    if (!pending)
        return;
    if (pending->waiters.size() == 1) {
        this->onLastDeadline(*pending);
        return;
    }
    // The other requests still wait, and the action may still be run for them.
    auto& waiters = pending->waiters;
    auto waiter = std::find_if(
        waiters.begin(), waiters.end(), [&](const ActionWaiter& w) { return w.request == request; });
    if (waiter == waiters.end())
        return;
    if (waiter->isConnected)
        this->context.refuse(request, RefusalReason::DeadlineUnreachable, Outcome::Unknown, ActionRetryAfter);
    waiters.erase(waiter);
}

void ActionFlow::onLastDeadline(Pending& pending)
{
    // Only this entry could send the action for its own claim, and it does not do so after the pending action
    // is forgotten.
    if (pending.awaitsOwnClaim())
        this->endNotRun(pending, RefusalReason::DeadlineUnreachable);
    else
        this->endUnknown(pending, RefusalReason::DeadlineUnreachable);
}

// Time and retention.

std::chrono::milliseconds ActionFlow::longestKeyAge() const
{
    const ActionRouterSettings& settings = this->context.settings;
    // A key may be created in the future and be claimed immediately, so its claim has to outlast both
    // margins.
    auto retentionLimit = settings.claimRetention - settings.maxKeyAhead - MaxClockSkew;
    return std::min(settings.maxKeyAge, retentionLimit);
}

void ActionFlow::updateClock(WallTime now)
{
    this->clock = ClockPair { now, this->context.timers.now() };
    this->claimReplica.forgetUpTo(now - this->context.settings.maxKeyAge - ClaimRetentionMargin);
    if (!this->pendingGap)
        return;
    auto since = this->context.timers.now() - *this->pendingGap;
    this->pendingGap.reset();
    this->applyGap(now - std::chrono::duration_cast<std::chrono::milliseconds>(since));
}

void ActionFlow::onGap()
{
    if (!this->clock) {
        this->pendingGap = this->context.timers.now();
        return;
    }
    auto since = this->context.timers.now() - this->clock->monotonic;
    this->applyGap(this->clock->wall + std::chrono::duration_cast<std::chrono::milliseconds>(since));
}

void ActionFlow::applyGap(WallTime gapSeenAt)
{
    const ActionRouterSettings& settings = this->context.settings;
    WallTime lostUpTo = gapSeenAt - settings.claimRetention;
    // The lost records are newer than the last one read. If that one is too recent to have expired, the log
    // keeps less than it promised, and every record up to now may be lost.
    if (this->lastRecordAt && *this->lastRecordAt > lostUpTo + MaxClockSkew)
        lostUpTo = gapSeenAt;
    this->claimReplica.forgetUpTo(lostUpTo + settings.maxKeyAhead + MaxClockSkew);
    auto affected = this->select([this](const Pending& pending) {
        return pending.awaitsOwnClaim() && this->claimReplica.isForgotten(pending.key);
    });
    for (const IdempotencyKey& key : affected)
        this->endNotRun(*this->find(key), RefusalReason::KeyTooOld);
}

void ActionFlow::setLogAvailable(bool isAvailable)
{
    this->isLogAvailable = isAvailable;
    if (isAvailable)
        return;
    // A claim that may be in the log is given up as well: only this entry would act on it, and the claim
    // cannot be read back. An append in flight is waited for, since its result settles the claim.
    auto unsent = this->select([](const Pending& pending) {
        return pending.awaitsOwnClaim() && pending.stage != ActionStage::Appending;
    });
    for (const IdempotencyKey& key : unsent)
        this->endNotRun(*this->find(key), RefusalReason::LogUnavailable);
}

// Final results.

void ActionFlow::finish(Pending& pending, const ApplicationAnswer& answer)
{
    this->context.record(EventKind::ActionAnswered, pending.attempt(), pending.key.raw());
    for (const ActionWaiter& waiter : pending.waiters) {
        if (waiter.isConnected)
            this->context.finish(waiter.request, answer);
    }
    this->forget(pending);
}

void ActionFlow::endNotRun(Pending& pending, RefusalReason reason)
{
    checkInvariant(!pending.mayHaveStarted, Invariant::NotRunMeansNotRun, pending.key.raw());
    bool isFinal = reason == RefusalReason::KeyTooOld || reason == RefusalReason::KeyConflict;
    std::optional<std::chrono::milliseconds> retryAfter;
    if (!isFinal)
        retryAfter = ActionRetryAfter;
    this->end(pending, reason, Outcome::NotRun, retryAfter);
}

void ActionFlow::endUnknown(Pending& pending, RefusalReason reason)
{
    this->context.record(EventKind::ActionUnknown, pending.attempt(), pending.key.raw());
    this->end(pending, reason, Outcome::Unknown, ActionRetryAfter);
}

void ActionFlow::endResultNotKept(Pending& pending)
{
    this->end(pending, RefusalReason::ResultNotKept, Outcome::Unknown, std::nullopt);
}

void ActionFlow::end(Pending& pending, RefusalReason reason, Outcome outcome,
    std::optional<std::chrono::milliseconds> retryAfter)
{
    for (const ActionWaiter& waiter : pending.waiters) {
        if (waiter.isConnected)
            this->context.refuse(waiter.request, reason, outcome, retryAfter);
    }
    this->forget(pending);
}

void ActionFlow::forget(Pending& pending)
{
    this->cancelTimers(pending);
    IdempotencyKey key = pending.key;
    this->pendingActions.erase(key);
}

void ActionFlow::cancelTimers(const Pending& pending)
{
    for (const ActionWaiter& waiter : pending.waiters)
        this->context.timers.cancel(waiter.deadline);
    this->context.timers.cancel(pending.waitTimer);
}

ActionFlow::Pending* ActionFlow::find(const IdempotencyKey& key)
{
    auto found = this->pendingActions.find(key);
    return found == this->pendingActions.end() ? nullptr : &found->second;
}

} // namespace peridotgrade
