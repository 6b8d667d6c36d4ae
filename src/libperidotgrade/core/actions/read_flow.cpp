// Attempts, hedges and retry budgets of reads.
#include "read_flow.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    constexpr std::chrono::milliseconds ReadRetryAfter { 1000 };

} // namespace

ReadFlow::ReadFlow(CallContext& context)
    : context(context)
{
}

ReadFlow::~ReadFlow()
{
    for (const auto& [id, read] : this->reads)
        this->cancelTimers(read);
}

void ReadFlow::submit(CallRequest request)
{
    ++this->context.counters.reads;
    RequestId id = request.id;
    this->context.record(EventKind::RequestArrived, { id, 0 }, request.service.raw());
    auto [read, isNew] = this->reads.try_emplace(id);
    read->second.request = std::move(request);
    read->second.deadline = this->context.timers.subscribeAt(
        read->second.request.deadline, [this, id] { this->onDeadline(id); });
    auto target = this->chooseAgent(read->second);
    if (target)
        this->sendAttempt(read->second, *target);
    else
        this->giveUp(read, RefusalReason::NoCapacity);
}

void ReadFlow::cancel(RequestId request)
{
    auto read = this->reads.find(request);
    if (read != this->reads.end())
        this->forget(read);
}

std::optional<AgentIncarnation> ReadFlow::chooseAgent(const Read& read) const
{
    const CallRequest& request = read.request;
    if (this->context.timeLeft(request.deadline).count() <= 0)
        return std::nullopt;
    return this->context.agents.choose(
        request.service, this->context.settings.dataCentre, read.tried, this->context.random);
}

void ReadFlow::sendAttempt(Read& read, const AgentIncarnation& target)
{
    const CallRequest& request = read.request;
    auto timeLeft = this->context.timeLeft(request.deadline);
    read.tried.push_back(target);
    auto number = static_cast<std::uint32_t>(read.tried.size());
    read.openAttempts.push_back({ target, number });

    StartRead start;
    start.attempt = { request.id, number };
    start.call = request.call;
    start.timeLeft = timeLeft;
    this->context.send(target.agent, std::move(start));

    // Each attempt gets an equal share of the time left, so that the last one still has time to answer.
    auto attemptsLeft = this->context.settings.maxReadRetries + 2
        - std::min(number, this->context.settings.maxReadRetries + 1);
    this->context.timers.cancel(read.hedge);
    read.hedge = this->context.timers.subscribeAfter(
        timeLeft / attemptsLeft, [this, id = request.id] { this->onHedgeTimer(id); });
}

bool ReadFlow::trySpendRetry(const Read& read)
{
    if (read.tried.size() > this->context.settings.maxReadRetries)
        return false;
    return this->budgetOf(read.request.service).trySpend();
}

void ReadFlow::retry(RequestId request)
{
    auto read = this->reads.find(request);
    if (read == this->reads.end())
        return;
    // The budget is not spent if there is no other server.
    auto target = this->chooseAgent(read->second);
    if (target && this->trySpendRetry(read->second)) {
        this->sendAttempt(read->second, *target);
        ++this->context.counters.retries;
        return;
    }
    if (read->second.openAttempts.empty())
        this->giveUp(read, RefusalReason::BackendLost);
}

void ReadFlow::onHedgeTimer(RequestId request) { this->retry(request); }

void ReadFlow::onAttemptFailed(RequestId request, std::uint32_t number)
{
    auto read = this->reads.find(request);
    if (read == this->reads.end())
        return;
    auto erased = std::erase_if(
        read->second.openAttempts, [&](const Attempt& open) { return open.number == number; });
    if (erased > 0)
        this->retry(request);
}

void ReadFlow::onAgentLost(const AgentId& agent)
{
    std::vector<AttemptId> failed;
    for (const auto& [id, read] : this->reads) {
        for (const Attempt& open : read.openAttempts) {
            if (open.target.agent == agent)
                failed.push_back({ id, open.number });
        }
    }
    for (const AttemptId& attempt : failed)
        this->onAttemptFailed(attempt.request, attempt.number);
}

void ReadFlow::onAnswered(const AgentId& agent, const ReadAnswered& message)
{
    auto read = this->reads.find(message.attempt.request);
    if (read == this->reads.end()) {
        this->context.record(EventKind::StaleMessageDropped, message.attempt, agent.raw());
        return;
    }
    this->budgetOf(read->second.request.service).recordSuccess();
    this->context.finish(message.attempt.request, message.answer);
    this->forget(read);
}

void ReadFlow::onFailed(const AgentId& agent, const ReadFailed& message)
{
    if (message.isDraining)
        this->context.agents.onDraining(agent);
    this->onAttemptFailed(message.attempt.request, message.attempt.number);
}

void ReadFlow::onDeadline(RequestId request)
{
    auto read = this->reads.find(request);
    if (read != this->reads.end())
        this->giveUp(read, RefusalReason::DeadlineUnreachable);
}

void ReadFlow::giveUp(Reads::iterator read, RefusalReason reason)
{
    // A read that was sent may have been executed; `not-run` would be false, even though a read is harmless.
    Outcome outcome = read->second.tried.empty() ? Outcome::NotRun : Outcome::Unknown;
    this->context.refuse(read->first, reason, outcome, ReadRetryAfter);
    this->forget(read);
}

void ReadFlow::forget(Reads::iterator read)
{
    this->cancelTimers(read->second);
    this->reads.erase(read);
}

void ReadFlow::cancelTimers(const Read& read)
{
    this->context.timers.cancel(read.deadline);
    this->context.timers.cancel(read.hedge);
}

RetryBudget& ReadFlow::budgetOf(const ServiceId& service)
{
    const ActionRouterSettings& settings = this->context.settings;
    auto [budget, isNew]
        = this->budgets.try_emplace(service, settings.retryBudgetShare, settings.retryBudgetReserve);
    return budget->second;
}

} // namespace peridotgrade
