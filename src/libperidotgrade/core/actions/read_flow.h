// Reads on the entry, with retries and hedged requests within the retry budget.
#pragma once

#include "call_context.h"
#include "peridotgrade/core/base/retry_budget.h"

#include <map>

namespace peridotgrade {

/// Serves the calls without a key. A read that fails, or gets no answer in its share of the time left, is
/// sent to another agent while the budget allows; the first answer counts.
class ReadFlow {
public:
    explicit ReadFlow(CallContext& context);
    /// Cancels its timers without notifying anybody.
    ~ReadFlow();
    ReadFlow(const ReadFlow&) = delete;
    ReadFlow& operator=(const ReadFlow&) = delete;

    void submit(CallRequest request);
    void cancel(RequestId request);
    void onAgentLost(const AgentId& agent);
    void onAnswered(const AgentId& agent, const ReadAnswered& message);
    void onFailed(const AgentId& agent, const ReadFailed& message);
    std::size_t openRequests() const { return this->reads.size(); }

private:
    struct Attempt {
        AgentIncarnation target;
        std::uint32_t number = 0;
    };

    struct Read {
        CallRequest request;
        /// Attempts that may still be answered.
        std::vector<Attempt> openAttempts;
        /// Agent incarnations that were tried, so that a retry goes to another one.
        std::vector<AgentIncarnation> tried;
        TimerId deadline;
        TimerId hedge;
    };

    using Reads = std::map<RequestId, Read>;

    std::optional<AgentIncarnation> chooseAgent(const Read& read) const;
    void sendAttempt(Read& read, const AgentIncarnation& target);
    void retry(RequestId request);
    void onHedgeTimer(RequestId request);
    void onAttemptFailed(RequestId request, std::uint32_t number);
    void onDeadline(RequestId request);
    void giveUp(Reads::iterator read, RefusalReason reason);
    void forget(Reads::iterator read);
    void cancelTimers(const Read& read);
    bool trySpendRetry(const Read& read);
    RetryBudget& budgetOf(const ServiceId& service);

    CallContext& context;
    Reads reads;
    std::map<ServiceId, RetryBudget> budgets;
};

} // namespace peridotgrade
