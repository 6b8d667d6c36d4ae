// Waits of requests, messages to and from holders, timers, log lines and metrics of quotas.
#include "peridotgrade/gateway/quota_service.h"

#include "peridotgrade/core/serving/retry_after.h"
#include "peridotgrade/gateway/final_answer.h"
#include "peridotgrade/gateway/member_address.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    // One refusal of this many of a tenant is logged; the metrics count all.
    constexpr std::uint64_t LogRefusalsEvery = 100;
    // Beyond every wait of a balance; only a fault would let it end.
    constexpr std::chrono::seconds MaxWait { 1 };

    double tokensOf(const TenantQuota& quota, const std::optional<GenerationSize>& size)
    {
        if (quota.unit == QuotaUnit::Requests)
            return 1;
        if (!size)
            return quota.plainTokens;
        return static_cast<double>(size->promptTokens) + static_cast<double>(size->maxOutputTokens);
    }

    std::string textOf(double tokens) { return std::to_string(static_cast<std::int64_t>(tokens)); }

    std::string_view nameOf(QuotaSource source)
    {
        return source == QuotaSource::Balance ? "balance" : "own_share";
    }

} // namespace

struct QuotaService::Waiter {
    explicit Waiter(const asio::any_io_executor& executor)
        : timer(executor, MaxWait)
    {
    }
    asio::steady_timer timer;
    std::optional<QuotaResult> result;
};

struct QuotaService::Account {
    Account(const Tenant& tenant, std::string member, TimePoint now, QuotaBalance::Hooks hooks)
        : tenant(tenant.name)
        , quota(*tenant.quota)
        , lookup(tenant.name, member)
        , balance(tenant.name, std::move(member), *tenant.quota, now, std::move(hooks))
    {
    }
    TenantId tenant;
    TenantQuota quota;
    HolderLookup lookup;
    QuotaBalance balance;
    std::map<QuotaTicket, std::shared_ptr<Waiter>> waiters;
    std::optional<std::string> knownHolder;
    bool wasOnOwnShare = false;
    std::uint64_t refusals = 0;
};

QuotaService::QuotaService(GatewayState& state, PeerSocket& socket, MetricsRegistry& registry)
    : state(state)
    , socket(socket)
    , timer(state.executor)
{
    this->socket.setDefaultHandler(
        [this](const Endpoint& from, std::string_view datagram) { this->receive(from, datagram); });
    registry.callbackCounter(
        { "peridot_gateway_quota_datagrams_dropped_total", "Datagrams of entries that were dropped", "", "" },
        [this] { return static_cast<double>(this->socket.dropped()); });
}

QuotaService::~QuotaService() = default;

bool QuotaService::needsOwners() const
{
    const auto& current = this->state.configuration;
    return this->hasPeers() && current
        && std::any_of(current->tenants.begin(), current->tenants.end(),
            [](const Tenant& each) { return each.quota.has_value(); });
}

asio::awaitable<std::optional<std::chrono::milliseconds>> QuotaService::charge(RequestContext& context)
{
    if (context.tenant == nullptr || !context.tenant->quota)
        co_return std::nullopt;
    const Tenant& tenant = *context.tenant;
    double tokens = tokensOf(*tenant.quota, context.request.size);
    TimePoint now = TimerDriver::bootNow();
    std::optional<QuotaRefusal> early;
    if (!isFirstAttempt(context))
        early = this->accountOf(tenant, now).balance.refuseRetry(now);
    QuotaResult result;
    if (early)
        result = *early;
    else
        result = co_await this->admit(tenant, tokens, context.priority);
    now = TimerDriver::bootNow();
    if (const auto* refusal = std::get_if<QuotaRefusal>(&result)) {
        this->noteRefusal(this->accountOf(tenant, now), tokens, *refusal);
        auto usual = chooseRetryAfter(timeLeft(this->state, context), this->state.random);
        co_return notBefore(now, now + refusal->wait, usual);
    }
    QuotaSource source = std::get<QuotaSource>(result);
    this->state.metrics.countQuotaDecision("granted_" + std::string { nameOf(source) });
    context.quota = QuotaCharge([this, name = tenant.name, source, tokens, now] {
        auto account = this->accounts.find(name);
        if (account == this->accounts.end())
            return;
        QuotaBalance& balance = account->second->balance;
        balance.refund(source, tokens, now, TimerDriver::bootNow());
        this->state.metrics.countQuotaDecision("refunded");
        this->arm(balance.nextDue());
    });
    co_return std::nullopt;
}

asio::awaitable<QuotaResult> QuotaService::admit(
    const Tenant& tenant, double tokens, RequestPriority priority)
{
    TimePoint now = TimerDriver::bootNow();
    Account& account = this->accountOf(tenant, now);
    QuotaDecision decision = account.balance.admit(tokens, priority, now);
    this->noteShare(account);
    this->arm(account.balance.nextDue());
    if (const auto* source = std::get_if<QuotaSource>(&decision))
        co_return *source;
    if (const auto* refusal = std::get_if<QuotaRefusal>(&decision))
        co_return *refusal;
    auto waiter = std::make_shared<Waiter>(this->state.executor);
    account.waiters[std::get<QuotaTicket>(decision)] = waiter;
    boost::system::error_code cancelled;
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    co_return waiter->result.value_or(QuotaRefusal { MaxWait, QuotaSource::OwnShare });
}

QuotaService::Account& QuotaService::accountOf(const Tenant& tenant, TimePoint now)
{
    if (this->configuration != this->state.configuration) {
        this->configuration = this->state.configuration;
        this->holder.setConfiguration(this->configuration);
        // Waits end within 60 ms, so an account is removed by the next configuration at the latest.
        std::set<TenantId> limited;
        for (const Tenant& each : this->configuration->tenants) {
            if (each.quota)
                limited.insert(each.name);
        }
        std::erase_if(this->accounts,
            [&](const auto& each) { return !limited.contains(each.first) && each.second->waiters.empty(); });
    }
    auto& account = this->accounts[tenant.name];
    if (!account) {
        TenantId name = tenant.name;
        QuotaBalance::Hooks hooks;
        hooks.send
            = [this](const std::string& to, const QuotaRequest& request) { this->sendTo(to, request); };
        hooks.settle = [this, name](QuotaTicket ticket, const QuotaResult& result) {
            auto& waiters = this->accounts.at(name)->waiters;
            auto found = waiters.find(ticket);
            if (found == waiters.end())
                return;
            found->second->result = result;
            found->second->timer.cancel();
            waiters.erase(found);
        };
        account = std::make_unique<Account>(tenant, this->member, now, std::move(hooks));
    }
    account->quota = *tenant.quota;
    this->refresh(*account, now);
    return *account;
}

void QuotaService::refresh(Account& account, TimePoint now)
{
    account.balance.setQuota(account.quota, this->configuration->version.raw(), now);
    account.balance.setShare(this->share, now);
    bool isMember = this->holder.isMember(now);
    account.balance.setMember(isMember, now);
    auto found = this->hasPeers()
        ? account.lookup.find(this->group, isMember, this->confirmedAt, account.balance.isOnOwnShare(), now)
        : std::nullopt;
    // A copy, since an answer that comes at once may change what the lookup refers to.
    std::optional<std::string> newHolder;
    if (found)
        newHolder.emplace(*found);
    account.balance.setHolder(newHolder, now);
    if (newHolder == account.knownHolder)
        return;
    account.knownHolder = std::move(newHolder);
    this->state.log.write(LogLevel::Info, "quota_holder_changed",
        { { "tenant", account.tenant.raw() }, { "holder", account.knownHolder.value_or("unknown") } });
    this->arm(account.balance.nextDue());
}

void QuotaService::noteShare(Account& account)
{
    bool isOnOwnShare = account.balance.isOnOwnShare();
    if (isOnOwnShare == account.wasOnOwnShare)
        return;
    account.wasOnOwnShare = isOnOwnShare;
    this->state.log.write(isOnOwnShare ? LogLevel::Warn : LogLevel::Info, "quota_own_share",
        { { "tenant", account.tenant.raw() }, { "in_use", isOnOwnShare ? "true" : "false" },
            { "share", std::to_string(QuotaAccount::OwnShare * this->share) },
            { "holder", account.knownHolder.value_or("unknown") } });
}

void QuotaService::noteRefusal(Account& account, double tokens, const QuotaRefusal& refusal)
{
    this->state.metrics.countQuotaDecision("refused_" + std::string { nameOf(refusal.source) });
    if (account.refusals++ % LogRefusalsEvery != 0)
        return;
    this->state.log.write(LogLevel::Info, "quota_refused",
        { { "tenant", account.tenant.raw() }, { "tokens", textOf(tokens) },
            { "by", std::string { nameOf(refusal.source) } }, { "wait_ms", millisecondsText(refusal.wait) },
            { "refused", std::to_string(account.refusals) },
            { "config", std::to_string(this->configuration->version.raw()) } });
}

void QuotaService::confirm(const QuotaMembership& membership)
{
    this->holder.confirm(membership);
    this->confirmedAt = membership.confirmedAt;
    const HeldPartitions& held = membership.held;
    this->hasHeldPartitions = this->hasHeldPartitions || !held.numbers.empty();
    // The first partitions come when those of former members are given away.
    if (this->hasHeldPartitions)
        this->share = static_cast<double>(held.numbers.size()) / std::max(held.total, 1U);
    this->refreshAll();
}

void QuotaService::setOwners(std::vector<std::string> owners)
{
    this->group = this->group.updated(std::move(owners), TimerDriver::bootNow());
    this->holder.setGroup(&this->group);
    this->addresses.clear();
    this->members.clear();
    std::set<Endpoint> peers;
    auto add = [&](const std::string& name) {
        auto address = memberAddress(name);
        if (!address)
            return;
        this->addresses[name] = *address;
        this->members[*address] = name;
        peers.insert(*address);
    };
    // Those that do not reach the store may still ask here. A member at the same address goes before.
    for (const std::string& name : this->group.formerNames())
        add(name);
    for (const auto& [name, part] : this->group.shares())
        add(name);
    this->socket.setPeers(std::move(peers));
    this->refreshAll();
}

void QuotaService::refreshAll()
{
    TimePoint now = TimerDriver::bootNow();
    for (auto& [name, account] : this->accounts) {
        this->refresh(*account, now);
        this->noteShare(*account);
    }
}

void QuotaService::receive(const Endpoint& from, std::string_view datagram)
{
    auto message = decodeQuotaMessage(datagram);
    if (!message) {
        this->state.metrics.countQuotaGrant("malformed");
        this->state.log.write(LogLevel::Warn, "quota_datagram_malformed", { { "from", toString(from) } });
        return;
    }
    const std::string& sender = this->members.at(from);
    if (const auto* request = std::get_if<QuotaRequest>(&*message)) {
        // A process that has just started is not among the owners yet, but its predecessor is.
        if (QuotaGroup::areOfOnePlace(request->member, sender))
            this->answer(from, *request);
    } else {
        this->acceptGrant(sender, std::get<QuotaGrant>(*message));
    }
}

void QuotaService::answer(const Endpoint& from, const QuotaRequest& request)
{
    if (this->state.configuration)
        this->holder.setConfiguration(this->state.configuration);
    auto grant = this->holder.answer(request, TimerDriver::bootNow());
    if (!grant)
        return;
    std::string_view result = !grant->isHolder ? "not_holder"
        : grant->tokens < request.tokens       ? (grant->tokens > 0 ? "partly" : "refused")
                                               : "whole";
    this->state.metrics.countQuotaGrant(std::string { result });
    if (request.member == this->member)
        this->acceptGrant(this->member, *grant);
    else
        this->socket.send(from, encodeQuotaMessage(*grant));
}

void QuotaService::sendTo(const std::string& to, const QuotaRequest& request)
{
    auto address = this->addresses.find(to);
    if (address == this->addresses.end())
        return;
    if (to == this->member)
        this->answer(address->second, request);
    else
        this->socket.send(address->second, encodeQuotaMessage(request));
}

void QuotaService::acceptGrant(const std::string& from, const QuotaGrant& grant)
{
    if (!grant.isHolder)
        this->areOwnersStale = true;
    auto account = this->accounts.find(grant.tenant);
    if (account == this->accounts.end())
        return;
    if (!grant.isHolder)
        this->redirect(*account->second, from, grant);
    account->second->balance.accept(from, grant, TimerDriver::bootNow());
    this->noteShare(*account->second);
    this->arm(account->second->balance.nextDue());
}

void QuotaService::redirect(Account& account, const std::string& from, const QuotaGrant& grant)
{
    TimePoint now = TimerDriver::bootNow();
    bool isFromHolder = account.knownHolder == from;
    if (!isFromHolder || this->holder.isMember(now))
        return;
    if (account.lookup.redirect(this->group, from, grant.holder, now))
        this->refresh(account, now);
}

void QuotaService::arm(std::optional<TimePoint> due)
{
    if (!due || (this->armedFor && *this->armedFor <= *due))
        return;
    this->armedFor = due;
    this->timer.expires_after(std::max<Duration>(*due - TimerDriver::bootNow(), Duration::zero()));
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            this->advance();
    });
}

void QuotaService::advance()
{
    TimePoint now = TimerDriver::bootNow();
    this->armedFor.reset();
    std::optional<TimePoint> next;
    for (auto& [name, account] : this->accounts) {
        auto due = account->balance.nextDue();
        if (due && *due <= now) {
            account->balance.advance(now);
            this->noteShare(*account);
            due = account->balance.nextDue();
        }
        if (due)
            next = next ? std::min(*next, *due) : *due;
    }
    this->arm(next);
}

} // namespace peridotgrade
