// Messages, final results and events of application calls.
#include "call_context.h"

namespace peridotgrade {

void CallContext::send(const AgentId& agent, EntryMessage message)
{
    this->actions.push_back(SendToAgent { agent, std::move(message) });
}

void CallContext::finish(RequestId request, ApplicationAnswer answer)
{
    ++this->counters.answered;
    this->record(EventKind::RequestFinished, { request, 0 }, {});
    this->actions.push_back(FinishCall { request, std::move(answer) });
}

void CallContext::refuse(RequestId request, RefusalReason reason, Outcome outcome,
    std::optional<std::chrono::milliseconds> retryAfter)
{
    ++(outcome == Outcome::NotRun ? this->counters.notRun : this->counters.unknown);
    this->record(
        EventKind::RequestRefused, { request, 0 }, std::string(nameOf(outcome)), std::string(nameOf(reason)));
    this->actions.push_back(RefuseRequest { request, Refusal { reason, outcome, retryAfter } });
}

void CallContext::record(EventKind kind, AttemptId attempt, std::string subject, std::string detail)
{
    this->events.record({ kind, this->timers.now(), attempt, std::move(subject), std::move(detail) });
}

std::chrono::milliseconds CallContext::timeLeft(TimePoint deadline) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - this->timers.now());
}

} // namespace peridotgrade
