// What a generation asks of the admission queue: memory, until when, and its turn.
#include "peridotgrade/gateway/generation_call.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    // Callers give up a stream without an event after four seconds at the earliest.
    constexpr std::chrono::milliseconds MaxSilence { 3300 };
    // They wait for the first event four times as long as the target; less what the answer takes to them.
    constexpr double MaxSilenceTargets = 3.3;
    // A repeated round of one request gets a reservation quickly or not at all.
    constexpr std::chrono::milliseconds MinReservationWait { 250 };
    // An expected time to the first event counts up to this share of the target: with more, one slow moment
    // would leave no time at all to wait for memory, and all requests would be rejected at once.
    constexpr double MaxFirstEventShare = 0.6;
} // namespace

bool GenerationCall::isFirstAttempt() const { return peridotgrade::isFirstAttempt(this->context); }

bool GenerationCall::isLateRetry() const
{
    if (!this->state.isLoadAware() || this->isFirstAttempt() || this->hasBegun)
        return false;
    Duration sinceFirst = this->context.route.timeout - *this->context.request.callerTimeout;
    return sinceFirst >= this->context.route.latencyTarget - TimeToFirstEvent;
}

bool GenerationCall::weighsLateness() const
{
    return this->state.isLoadAware() || this->context.request.urgency;
}

TimePoint GenerationCall::firstEventDue() const
{
    if (this->hasBegun || !this->weighsLateness())
        return this->context.deadline;
    auto targets
        = std::chrono::duration_cast<Duration>(this->context.route.latencyTarget * MaxSilenceTargets);
    TimePoint givenUpAt = this->context.request.arrivedAt + std::max<Duration>(MaxSilence, targets);
    return std::min(givenUpAt, this->context.deadline);
}

TimePoint GenerationCall::reservationDue() const
{
    TimePoint arrived = this->context.request.arrivedAt;
    TimePoint due = arrived + MaxSilence;
    // With priorities a repeated round waits like a caller's retry: its prompt has been read, and a late
    // answer is better than a failure.
    bool isRepeated = this->rounds > 1 && this->context.request.urgency;
    if (this->isFirstAttempt() && !this->hasBegun && !isRepeated)
        due = arrived + this->context.route.latencyTarget - TimeToFirstEvent;
    if (this->rounds > 1)
        due = std::max(due, this->state.now() + MinReservationWait);
    return std::min(due, this->context.deadline - TimeToFirstEvent);
}

std::optional<TimePoint> GenerationCall::onTimeUntil() const
{
    if (!this->weighsLateness() || !this->isFirstAttempt() || this->hasBegun || this->rounds > 1)
        return std::nullopt;
    const ServiceRoute& route = this->context.route;
    auto longest = std::chrono::duration_cast<Duration>(route.latencyTarget * MaxFirstEventShare);
    auto prefill = this->state.demandOf(this->context.service).prefillCost().estimate(this->promptTokens());
    auto expected = this->broker->timeToFirstEvent(this->state.now(), prefill);
    if (!expected || *expected <= TimeToFirstEvent || longest <= TimeToFirstEvent)
        return std::nullopt;
    return this->context.request.arrivedAt + route.latencyTarget - std::min(*expected, longest);
}

WaitingRequest GenerationCall::waitingRequest() const
{
    WaitingRequest request;
    request.due = this->reservationDue();
    request.tokens = this->tokensNeeded();
    request.version = this->version;
    if (this->context.route.isResumable)
        request.versions = this->state.versions[this->context.service].recorded();
    request.onTimeUntil = this->onTimeUntil();
    if (this->context.request.urgency) {
        request.priority = this->context.priority;
        // A request that fails once more costs its caller more than a first rejection.
        request.goesFirst = !this->isFirstAttempt() || this->hasBegun || this->rounds > 1;
    } else {
        request.isLate = this->isLateRetry();
    }
    return request;
}

} // namespace peridotgrade
