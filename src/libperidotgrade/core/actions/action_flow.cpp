// Requests of actions: admission, sharing, deadlines and final answers.
#include "action_flow.h"

#include "call_content.h"
#include "peridotgrade/core/base/invariant.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    constexpr std::chrono::milliseconds ActionRetryAfter { 1000 };
    constexpr std::chrono::milliseconds FirstAppendWait { 20 };
    constexpr std::chrono::milliseconds LongestAppendWait { 500 };
    /// Claims are remembered this much longer than keys are admitted.
    constexpr std::chrono::milliseconds ClaimSlack { std::chrono::minutes { 5 } };
    /// Clocks of entries, callers and the log may differ by this much.
    constexpr std::chrono::milliseconds ClockSkew { std::chrono::minutes { 1 } };

} // namespace

ActionFlow::ActionFlow(CallContext& context)
    : context(context)
{
}

ActionFlow::~ActionFlow()
{
    if (this->batchTimer)
        this->context.timers.cancel(*this->batchTimer);
    for (const auto& [key, conversation] : this->conversations)
        this->cancelTimers(conversation);
}

// Requests.

void ActionFlow::submit(CallRequest request, WallTime now)
{
    ++this->context.counters.actions;
    this->context.record(EventKind::RequestArrived, { request.id, 0 }, request.service.raw());
    this->noteTime(now);
    IdempotencyKey key = scopedKey(request.workspace, request.service, request.key);
    if (this->isRefusedForAge(request.id, key, now))
        return;
    Fingerprint content = contentOf(request.call);
    if (Conversation* shared = this->find(key))
        this->join(*shared, request, content);
    else
        this->open(std::move(request), key, content);
}

bool ActionFlow::isRefusedForAge(RequestId request, const IdempotencyKey& key, WallTime now)
{
    auto time = timeOf(key);
    const ActionRouterSettings& settings = this->context.settings;
    if (time && *time > now + settings.maxKeyAhead) {
        this->context.refuse(request, RefusalReason::KeyFromFuture, Outcome::NotRun, std::nullopt);
        return true;
    }
    if (time && *time >= now - this->longestKeyAge() && !this->fold.isForgotten(key))
        return false;
    this->context.refuse(request, RefusalReason::KeyTooOld, Outcome::NotRun, std::nullopt);
    return true;
}

void ActionFlow::open(CallRequest request, const IdempotencyKey& key, Fingerprint content)
{
    Backoff backoff(FirstAppendWait, LongestAppendWait);
    Conversation& conversation = this->conversations.emplace(key, Conversation(backoff)).first->second;
    conversation.key = key;
    conversation.id = request.id;
    conversation.service = request.service;
    conversation.content = content;
    this->addWaiter(conversation, request);
    conversation.call = std::move(request.call);
    this->proceed(conversation);
}

void ActionFlow::join(Conversation& conversation, const CallRequest& request, Fingerprint content)
{
    if (conversation.content != content) {
        this->context.refuse(request.id, RefusalReason::KeyConflict, Outcome::NotRun, std::nullopt);
        return;
    }
    this->addWaiter(conversation, request);
}

void ActionFlow::addWaiter(Conversation& conversation, const CallRequest& request)
{
    ActionWaiter waiter;
    waiter.request = request.id;
    waiter.deadline = this->context.timers.scheduleAt(
        request.deadline, [this, key = conversation.key, id = request.id] { this->onDeadline(key, id); });
    conversation.waiters.push_back(waiter);
    conversation.deadline = std::max(conversation.deadline, request.deadline);
}

void ActionFlow::cancel(RequestId request)
{
    for (auto& [key, conversation] : this->conversations) {
        auto& waiters = conversation.waiters;
        auto waiter = std::find_if(
            waiters.begin(), waiters.end(), [&](const ActionWaiter& w) { return w.request == request; });
        if (waiter == waiters.end())
            continue;
        waiter->isHeard = false;
        if (waiters.size() == 1 && conversation.stage == ActionStage::Batched)
            this->forget(conversation);
        return;
    }
}

void ActionFlow::onDeadline(const IdempotencyKey& key, RequestId request)
{
    Conversation* conversation = this->find(key);
    if (!conversation)
        return;
    if (conversation->waiters.size() == 1) {
        this->onLastDeadline(*conversation);
        return;
    }
    // The others' wait goes on, and the action may yet be run for them.
    auto& waiters = conversation->waiters;
    auto waiter = std::find_if(
        waiters.begin(), waiters.end(), [&](const ActionWaiter& w) { return w.request == request; });
    if (waiter == waiters.end())
        return;
    if (waiter->isHeard)
        this->context.refuse(request, RefusalReason::DeadlineUnreachable, Outcome::Unknown, ActionRetryAfter);
    waiters.erase(waiter);
}

void ActionFlow::onLastDeadline(Conversation& conversation)
{
    // An own claim that was not sent never will be once the conversation is forgotten: nobody else sends it.
    if (conversation.awaitsOwnClaim())
        this->endNotRun(conversation, RefusalReason::DeadlineUnreachable);
    else
        this->endUnknown(conversation, RefusalReason::DeadlineUnreachable);
}

// Time and retention.

std::chrono::milliseconds ActionFlow::longestKeyAge() const
{
    const ActionRouterSettings& settings = this->context.settings;
    // A key may be dated ahead, and be claimed as soon as it is made: its claim has to outlast all of that.
    auto keptFor = settings.claimRetention - settings.maxKeyAhead - ClockSkew;
    return std::min(settings.maxKeyAge, keptFor);
}

void ActionFlow::noteTime(WallTime now)
{
    this->clock = ClockPair { now, this->context.timers.now() };
    this->fold.forgetUpTo(now - this->context.settings.maxKeyAge - ClaimSlack);
    if (!this->unjudgedGap)
        return;
    auto since = this->context.timers.now() - *this->unjudgedGap;
    this->unjudgedGap.reset();
    this->applyGap(now - std::chrono::duration_cast<std::chrono::milliseconds>(since));
}

void ActionFlow::onGap()
{
    if (!this->clock) {
        this->unjudgedGap = this->context.timers.now();
        return;
    }
    auto since = this->context.timers.now() - this->clock->core;
    this->applyGap(this->clock->wall + std::chrono::duration_cast<std::chrono::milliseconds>(since));
}

void ActionFlow::applyGap(WallTime gapSeen)
{
    const ActionRouterSettings& settings = this->context.settings;
    WallTime lostUpTo = gapSeen - settings.claimRetention;
    // The lost records are younger than the last one read: if that one is too young to be dropped, the log
    // keeps less than it promised, and anything up to now may be lost.
    if (this->lastRecordAt && *this->lastRecordAt > lostUpTo + ClockSkew)
        lostUpTo = gapSeen;
    this->fold.forgetUpTo(lostUpTo + settings.maxKeyAhead + ClockSkew);
    auto affected = this->select([this](const Conversation& conversation) {
        return conversation.awaitsOwnClaim() && this->fold.isForgotten(conversation.key);
    });
    for (const IdempotencyKey& key : affected)
        this->endNotRun(*this->find(key), RefusalReason::KeyTooOld);
}

void ActionFlow::setLogAvailable(bool isAvailable)
{
    this->isLogAvailable = isAvailable;
    if (isAvailable)
        return;
    // A claim that may be in the log is given up as well: only this entry would act on it, and it cannot be
    // read. An append under way is waited for; its end settles it.
    auto unsent = this->select([](const Conversation& conversation) {
        return conversation.awaitsOwnClaim() && conversation.stage != ActionStage::Appending;
    });
    for (const IdempotencyKey& key : unsent)
        this->endNotRun(*this->find(key), RefusalReason::LogUnavailable);
}

// Ends.

void ActionFlow::finish(Conversation& conversation, const ApplicationAnswer& answer)
{
    this->context.record(EventKind::ActionAnswered, conversation.attempt(), conversation.key.raw());
    for (const ActionWaiter& waiter : conversation.waiters) {
        if (waiter.isHeard)
            this->context.finish(waiter.request, answer);
    }
    this->forget(conversation);
}

void ActionFlow::endNotRun(Conversation& conversation, RefusalReason reason)
{
    checkInvariant(!conversation.mayHaveStarted, Invariant::NotRunMeansNotRun, conversation.key.raw());
    bool isFinal = reason == RefusalReason::KeyTooOld || reason == RefusalReason::KeyConflict;
    std::optional<std::chrono::milliseconds> retryAfter;
    if (!isFinal)
        retryAfter = ActionRetryAfter;
    this->end(conversation, reason, Outcome::NotRun, retryAfter);
}

void ActionFlow::endUnknown(Conversation& conversation, RefusalReason reason)
{
    this->context.record(EventKind::ActionUnknown, conversation.attempt(), conversation.key.raw());
    this->end(conversation, reason, Outcome::Unknown, ActionRetryAfter);
}

void ActionFlow::endRan(Conversation& conversation)
{
    this->end(conversation, RefusalReason::ResultNotKept, Outcome::Unknown, std::nullopt);
}

void ActionFlow::end(Conversation& conversation, RefusalReason reason, Outcome outcome,
    std::optional<std::chrono::milliseconds> retryAfter)
{
    for (const ActionWaiter& waiter : conversation.waiters) {
        if (waiter.isHeard)
            this->context.refuse(waiter.request, reason, outcome, retryAfter);
    }
    this->forget(conversation);
}

void ActionFlow::forget(Conversation& conversation)
{
    this->cancelTimers(conversation);
    IdempotencyKey key = conversation.key;
    this->conversations.erase(key);
}

void ActionFlow::cancelTimers(const Conversation& conversation)
{
    for (const ActionWaiter& waiter : conversation.waiters)
        this->context.timers.cancel(waiter.deadline);
    this->context.timers.cancel(conversation.pause);
}

ActionFlow::Conversation* ActionFlow::find(const IdempotencyKey& key)
{
    auto found = this->conversations.find(key);
    return found == this->conversations.end() ? nullptr : &found->second;
}

} // namespace peridotgrade
