// Charges requests at an entry and asks the holder of the account for tokens.
#include "peridotgrade/core/admission/quota_balance.h"

#include "peridotgrade/core/admission/quota_account.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    // Time for which an entry asks in advance.
    constexpr double DemandSeconds = 0.2;
    constexpr std::chrono::seconds LatelyUsed { 1 };
    constexpr std::chrono::milliseconds MinBackoff { 100 };
    constexpr std::chrono::milliseconds MaxBackoff { 1000 };
    // An entry with traffic asks at least this often, or the holder takes it for cut off.
    constexpr std::chrono::seconds MaxRefusedTime { 1 };
    constexpr std::chrono::milliseconds MinFillTime { 100 };

    Duration fillTime(const TenantQuota& quota)
    {
        return std::max<Duration>(TokenBucket::timeToGain(quota.burst, quota.perSecond), MinFillTime);
    }

} // namespace

QuotaBalance::QuotaBalance(
    TenantId tenant, std::string member, const TenantQuota& quota, TimePoint now, Hooks hooks)
    : tenant(std::move(tenant))
    , member(std::move(member))
    , hooks(std::move(hooks))
    , quota(quota)
    , ownShare(0, now)
    , countedAt(now)
    , used(fillTime(quota))
    , usedLately(LatelyUsed)
{
}

TokenRate QuotaBalance::ownRate(TimePoint now) const
{
    bool isLeftOut = !this->holder || !this->isMember;
    bool isWhole = isLeftOut && now - this->countedAt >= WholeShareAfter;
    double part = (isWhole ? 1 : QuotaAccount::OwnShare) * this->share;
    return { part * this->quota.perSecond, part * this->quota.burst };
}

void QuotaBalance::setQuota(const TenantQuota& newQuota, std::uint64_t newVersion, TimePoint now)
{
    this->version = newVersion;
    bool isSame = newQuota.perSecond == this->quota.perSecond && newQuota.burst == this->quota.burst;
    if (isSame)
        return;
    this->ownShare.refill(this->ownRate(now), now);
    this->quota = newQuota;
    this->ownShare.limitTo(this->ownRate(now).capacity);
    this->balance = std::min(this->balance, MaxBalanceShare * newQuota.burst);
    this->used = UsageWindow(fillTime(newQuota));
    this->refused.reset();
}

void QuotaBalance::setShare(double value, TimePoint now)
{
    if (value == this->share)
        return;
    this->ownShare.refill(this->ownRate(now), now);
    this->share = value;
    // A part that is gained brings no tokens but the first, since its former holder may have used them.
    if (value > 0 && !std::exchange(this->hasStarted, true))
        this->ownShare.add(this->ownRate(now).capacity);
    this->ownShare.limitTo(this->ownRate(now).capacity);
}

void QuotaBalance::setMember(bool value, TimePoint now)
{
    if (this->isMember && !value)
        this->countedAt = now;
    this->isMember = value;
}

void QuotaBalance::setHolder(std::optional<std::string_view> newHolder, TimePoint now)
{
    if (newHolder == this->holder)
        return;
    if (!newHolder && this->isMember)
        this->countedAt = now;
    this->holder = newHolder ? std::optional<std::string> { *newHolder } : std::nullopt;
    this->question.reset();
    this->refused.reset();
    this->isUnreachable = false;
    this->isActive = false;
    if (!this->holder)
        this->leaveToOwnShare(now);
    else if (!this->waiting.empty() || this->balance != 0 || this->used.total(now) > 0)
        this->ask(now);
    this->settleWaiting();
}

QuotaDecision QuotaBalance::admit(double tokens, RequestPriority priority, TimePoint now)
{
    this->retireUnused(now);
    if (this->tryBalance(tokens, now))
        return QuotaSource::Balance;
    if (this->isOnOwnShare()) {
        QuotaResult result = this->chargeOwnShare(tokens, now);
        return std::visit([](const auto& value) { return QuotaDecision { value }; }, result);
    }
    if (this->refused && now < this->refused->askAt && tokens >= this->refused->tokens) {
        this->lastRefusedAt = now;
        return QuotaRefusal { this->refused->grantedAt - now, QuotaSource::Balance };
    }
    QuotaTicket ticket { ++this->lastTicket };
    this->enqueue({ ticket, tokens, priority, now + MaxWait });
    this->isAdmitting = true;
    this->ask(now);
    this->isAdmitting = false;
    QuotaDecision decision { ticket };
    auto own = std::find_if(
        this->settled.begin(), this->settled.end(), [&](const auto& each) { return each.first == ticket; });
    if (own != this->settled.end()) {
        decision = std::visit([](const auto& value) { return QuotaDecision { value }; }, own->second);
        this->settled.erase(own);
    }
    this->settleWaiting();
    return decision;
}

std::optional<QuotaRefusal> QuotaBalance::refuseRetry(TimePoint now) const
{
    if (!this->lastRefusedAt || now - *this->lastRefusedAt >= AtLimitTime)
        return std::nullopt;
    QuotaSource source = this->isOnOwnShare() ? QuotaSource::OwnShare : QuotaSource::Balance;
    return QuotaRefusal { *this->lastRefusedAt + AtLimitTime - now, source };
}

bool QuotaBalance::tryBalance(double tokens, TimePoint now)
{
    bool isRefusing = this->refused && now < this->refused->askAt;
    double credit = this->isOnOwnShare() || isRefusing ? 0 : CreditShare * this->quota.burst;
    if (this->balance + credit < tokens)
        return false;
    bool isOnCredit = this->balance < tokens;
    if (isOnCredit && tokens > credit)
        return false;
    this->charge(tokens, now);
    if (isOnCredit)
        this->ask(now);
    return true;
}

void QuotaBalance::charge(double tokens, TimePoint now)
{
    this->balance -= tokens;
    this->usedAt = now;
    this->used.add(tokens, now);
    this->usedLately.add(tokens, now);
}

QuotaResult QuotaBalance::chargeOwnShare(double tokens, TimePoint now)
{
    TokenRate rate = this->ownRate(now);
    this->ownShare.refill(rate, now);
    double missing = std::min(tokens, rate.capacity) - this->ownShare.tokens();
    if (rate.perSecond <= 0 || missing > 0) {
        this->lastRefusedAt = now;
        return QuotaRefusal { TokenBucket::timeToGain(missing, rate.perSecond), QuotaSource::OwnShare };
    }
    this->ownShare.take(tokens);
    this->used.add(tokens, now);
    return QuotaSource::OwnShare;
}

void QuotaBalance::enqueue(Waiting request)
{
    auto after = std::find_if(this->waiting.begin(), this->waiting.end(),
        [&](const Waiting& each) { return request.priority < each.priority; });
    this->waiting.insert(after, std::move(request));
}

void QuotaBalance::ask(TimePoint now)
{
    if (!this->holder || this->question)
        return;
    double demand = 0;
    for (const Waiting& each : this->waiting)
        demand += each.tokens;
    double first = this->waiting.empty() ? 0 : this->waiting.front().tokens;
    QuotaRequest request { ++this->lastRequestId, this->member, this->version, this->tenant };
    request.needed = std::max(first - this->balance, 0.0);
    request.waiting = std::max(demand - this->balance, request.needed);
    if (request.waiting > 0)
        request.tokens = request.waiting + this->tokensAhead(first, now);
    request.recentlyUsed = this->used.total(now) + std::max(this->balance, 0.0) + this->toReturn;
    request.returned = std::exchange(this->toReturn, 0);
    this->isActive = request.tokens > 0;
    this->question = Question { std::move(request), first, now, now };
    this->send();
}

double QuotaBalance::tokensAhead(double first, TimePoint now)
{
    double most = MaxBalanceShare * this->quota.burst;
    // Less than a request needs would only lie unused.
    return first > most ? 0 : std::min(DemandSeconds * this->usedLately.total(now), most);
}

void QuotaBalance::send()
{
    // Copies, since an answer that comes at once ends the question.
    std::string to = *this->holder;
    QuotaRequest request = this->question->request;
    this->hooks.send(to, request);
}

void QuotaBalance::accept(const std::string& from, const QuotaGrant& grant, TimePoint now)
{
    bool isAnswer
        = this->question && this->holder == from && this->question->request.requestId == grant.requestId;
    if (!isAnswer)
        return;
    if (!grant.isHolder) {
        this->leaveToOwnShare(now);
        this->settleWaiting();
        return;
    }
    Question answered = *std::exchange(this->question, std::nullopt);
    this->isUnreachable = false;
    this->countedAt = now;
    this->balance += grant.tokens;
    this->usedAt = now;
    bool isRefused = answered.request.tokens > 0 && grant.tokens <= 0;
    if (isRefused)
        this->refuseWaiting(answered.first, grant.retryAfter, now);
    else
        this->refused.reset();
    this->serveWaiting(now);
    if (!this->waiting.empty())
        this->ask(now);
    this->settleWaiting();
}

void QuotaBalance::refuseWaiting(double first, std::chrono::milliseconds retryAfter, TimePoint now)
{
    this->refused = Refused { first, now + std::min<Duration>(retryAfter, MaxRefusedTime), now + retryAfter };
    std::erase_if(this->waiting, [&](const Waiting& each) {
        bool isRefused = each.tokens >= first && each.tokens > this->balance;
        if (isRefused) {
            this->lastRefusedAt = now;
            this->settled.emplace_back(each.ticket, QuotaRefusal { retryAfter, QuotaSource::Balance });
        }
        return isRefused;
    });
}

void QuotaBalance::serveWaiting(TimePoint now)
{
    std::erase_if(this->waiting, [&](const Waiting& each) {
        if (each.tokens > this->balance)
            return false;
        this->charge(each.tokens, now);
        this->settled.emplace_back(each.ticket, QuotaSource::Balance);
        return true;
    });
}

void QuotaBalance::leaveToOwnShare(TimePoint now)
{
    Duration next = this->isUnreachable ? this->backoff * 2 : Duration { MinBackoff };
    this->isUnreachable = true;
    this->backoff = std::min<Duration>(next, MaxBackoff);
    this->repeatAt = now + this->backoff;
    for (const Waiting& each : std::exchange(this->waiting, {}))
        this->settled.emplace_back(each.ticket, this->chargeOwnShare(each.tokens, now));
}

void QuotaBalance::refund(QuotaSource source, double tokens, TimePoint chargedAt, TimePoint now)
{
    if (now - chargedAt > MaxRefundAge)
        return;
    this->used.remove(tokens, now);
    if (source == QuotaSource::OwnShare) {
        this->ownShare.add(tokens);
        return;
    }
    this->balance += tokens;
    double surplus = this->balance - MaxBalanceShare * this->quota.burst;
    if (surplus > 0) {
        this->balance -= surplus;
        this->toReturn += surplus;
    }
}

void QuotaBalance::retireUnused(TimePoint now)
{
    if (now - this->usedAt < UnusedTime || this->balance <= 0)
        return;
    this->toReturn += this->balance;
    this->balance = 0;
}

void QuotaBalance::advance(TimePoint now)
{
    if (this->question && !this->isUnreachable && now >= this->question->firstSentAt + MaxWait) {
        this->leaveToOwnShare(now);
    } else if (this->question && this->isUnreachable && now >= this->repeatAt) {
        this->leaveToOwnShare(now);
        this->send();
    } else if (this->question && !this->isUnreachable && now >= this->question->lastSentAt + RepeatAfter) {
        this->question->lastSentAt = now;
        this->send();
    }
    // A request may also wait for a question that began before it came.
    std::erase_if(this->waiting, [&](const Waiting& each) {
        if (now < each.until)
            return false;
        this->settled.emplace_back(each.ticket, this->chargeOwnShare(each.tokens, now));
        return true;
    });
    bool isUnused = !this->question && this->waiting.empty() && now - this->usedAt >= UnusedTime;
    if (isUnused && this->holder && (this->isActive || this->balance > 0 || this->toReturn > 0)) {
        this->retireUnused(now);
        this->ask(now);
    }
    this->settleWaiting();
}

std::optional<TimePoint> QuotaBalance::nextDue() const
{
    std::optional<TimePoint> due;
    auto include = [&](TimePoint time) { due = due ? std::min(*due, time) : time; };
    if (this->question && this->isUnreachable)
        include(this->repeatAt);
    else if (this->question)
        include(std::min(this->question->lastSentAt + RepeatAfter, this->question->firstSentAt + MaxWait));
    for (const Waiting& each : this->waiting)
        include(each.until);
    if (!this->question && this->holder && (this->isActive || this->balance > 0 || this->toReturn > 0))
        include(this->usedAt + UnusedTime);
    return due;
}

void QuotaBalance::settleWaiting()
{
    if (this->isAdmitting)
        return;
    for (const auto& [ticket, result] : std::exchange(this->settled, {}))
        this->hooks.settle(ticket, result);
}

} // namespace peridotgrade
