// Scheduling of reservation calls for waiting requests.
#include "peridotgrade/core/serving/admission_queue.h"

#include "peridotgrade/core/base/name_table.h"

#include <algorithm>
#include <array>

namespace peridotgrade {

std::string_view nameOf(EarlyRejectionReason reason)
{
    constexpr std::array<std::string_view, 2> Names { "forecast", "late" };
    return nameAt(Names, reason);
}

std::optional<EarlyRejection> AdmissionQueue::add(const WaitingRequest& request, TimePoint now)
{
    this->shares.noteArrival(request.priority, request.tokens, now);
    auto rejection = this->forecastFor(request, now);
    if (rejection)
        this->noteUnserved(request, now);
    else
        this->waiting.add(request);
    return rejection;
}

void AdmissionQueue::remove(RequestId id)
{
    this->waiting.remove(id);
    this->pausedUntil.erase(id);
}

std::vector<RequestId> AdmissionQueue::takeDueBy(TimePoint time, TimePoint now)
{
    std::vector<RequestId> due;
    for (const WaitingRequest& request : this->waiting.takeOverdue(time)) {
        this->noteUnserved(request, now);
        due.push_back(request.id);
    }
    return due;
}

void AdmissionQueue::noteUnserved(const WaitingRequest& request, TimePoint now)
{
    this->pausedUntil.erase(request.id);
    this->shares.noteEnd(request.priority, false, now);
    this->large.noteEnd(request, false, now);
}

bool AdmissionQueue::mustYield(RequestPriority priority, TimePoint now) const
{
    return this->shares.rankOf(priority, now) > 0 && !this->shares.isStarved(priority, now);
}

bool AdmissionQueue::mustYield(const WaitingRequest& request, TimePoint now) const
{
    return this->mustYield(request.priority, now) && !this->large.isStarved(request, now);
}

EarlyRejection AdmissionQueue::rejectionOf(
    const WaitingRequest& request, EarlyRejectionReason reason, std::uint64_t tokensAhead, TimePoint now)
{
    return { request.id, reason, request.priority, tokensAhead, request.due - now,
        this->forecast.tokensPerSecond(now).value_or(0), this->shares.servedShare(request.priority, now) };
}

std::optional<EarlyRejection> AdmissionQueue::forecastFor(const WaitingRequest& request, TimePoint now)
{
    Duration wait = request.due - now;
    std::uint64_t ahead = this->waiting.tokensAhead(request);
    if (this->mustYield(request, now)) {
        double expected = this->shares.urgentTokensPerSecond(request.priority, now)
            * std::chrono::duration<double>(wait).count();
        ahead += static_cast<std::uint64_t>(std::max(expected, 0.0));
    }
    if (this->forecast.canServe(
            now, ahead, wait, request.isLate ? ForecastCertainty::High : ForecastCertainty::Usual))
        return std::nullopt;
    return this->rejectionOf(request, EarlyRejectionReason::Forecast, ahead, now);
}

void AdmissionQueue::rejectHopeless(ReservationSchedule& schedule, TimePoint now)
{
    for (const WaitingRequest& late : this->waiting.takeLate(now)) {
        schedule.rejected.push_back(
            this->rejectionOf(late, EarlyRejectionReason::Late, this->waiting.tokensAhead(late), now));
        this->noteUnserved(late, now);
    }
    std::vector<WaitingRequest> yielding;
    // The requests of one priority follow each other.
    std::optional<RequestPriority> priority;
    bool isYielding = false;
    this->waiting.visit([&](const WaitingRequest& request) {
        if (priority != request.priority) {
            priority = request.priority;
            isYielding = this->mustYield(request.priority, now);
        }
        if (isYielding && !this->inFlight.contains(request.id) && !this->large.isStarved(request, now))
            yielding.push_back(request);
        return true;
    });
    // The least urgent first, so that what they leave counts for the others.
    for (auto request = yielding.rbegin(); request != yielding.rend(); ++request) {
        auto rejection = this->forecastFor(*request, now);
        if (!rejection)
            continue;
        schedule.rejected.push_back(*rejection);
        this->waiting.remove(request->id);
        this->noteUnserved(*request, now);
    }
}

std::vector<const WaitingRequest*> AdmissionQueue::inServingOrder(TimePoint now) const
{
    std::vector<const WaitingRequest*> order;
    order.reserve(this->waiting.size());
    std::optional<RequestPriority> priority;
    std::optional<std::size_t> starved;
    this->waiting.visit([&](const WaitingRequest& request) {
        if (!starved && priority != request.priority) {
            priority = request.priority;
            if (this->shares.isStarved(request.priority, now))
                starved = order.size();
        }
        order.push_back(&request);
        return true;
    });
    if (starved) {
        auto first = order.begin() + static_cast<std::ptrdiff_t>(*starved);
        std::rotate(order.begin(), first, first + 1);
    }
    return order;
}

bool AdmissionQueue::isPausing(RequestId id, TimePoint now) const
{
    auto found = this->pausedUntil.find(id);
    return found != this->pausedUntil.end() && found->second > now;
}

void AdmissionQueue::noteRefused(RequestId id, TimePoint now)
{
    const WaitingRequest* request = this->waiting.find(id);
    if (request == nullptr)
        return;
    if (Duration pause = this->pauseOf(*request, now); pause > Duration::zero())
        this->pausedUntil[id] = now + pause;
}

Duration AdmissionQueue::pauseOf(const WaitingRequest& request, TimePoint now) const
{
    Duration left = request.due - now;
    auto atMost = [left](std::chrono::milliseconds pause, double share) {
        return std::min<Duration>(pause, std::chrono::duration_cast<Duration>(left * share));
    };
    Duration pause {};
    if (this->mustYield(request, now)) {
        std::uint32_t doublings = std::min(this->shares.rankOf(request.priority, now) - 1, MaxPauseDoublings);
        pause = atMost(LessUrgentPause * (1 << doublings), MaxPauseShare);
    }
    bool hasBecomeLate = request.onTimeUntil && *request.onTimeUntil <= now;
    if (hasBecomeLate || (request.isLate && left > LastAttemptTime))
        pause = std::max(pause, atMost(LatePause, MaxLatePauseShare));
    return pause;
}

std::vector<OpenEngine> AdmissionQueue::openAmong(
    const std::vector<const ServerRecord*>& candidates, const DataCentreId& ownDataCentre, TimePoint now)
{
    auto open = this->load.openAmong(candidates, ownDataCentre, now);
    std::erase_if(open, [&](const OpenEngine& each) { return !this->limits.mayCall(*each.record, now); });
    return open;
}

ReservationSchedule AdmissionQueue::schedule(const std::vector<const ServerRecord*>& candidates,
    const DataCentreId& ownDataCentre, TimePoint now, RandomSource& random)
{
    ReservationSchedule schedule;
    schedule.overdue = this->takeDueBy(now, now);
    this->rejectHopeless(schedule, now);
    bool isAnyRequestWaiting = false;
    std::optional<TimePoint> pauseEnd;
    // Both are computed for the first request that may be sent.
    std::optional<std::vector<OpenEngine>> open;
    std::vector<const ServerRecord*> kept;
    for (const WaitingRequest* request : this->inServingOrder(now)) {
        if (this->inFlight.contains(request->id))
            continue;
        if (this->inFlight.size() >= MaxCallsInFlight) {
            isAnyRequestWaiting = true;
            break;
        }
        if (this->isPausing(request->id, now)) {
            isAnyRequestWaiting = true;
            TimePoint end = this->pausedUntil.at(request->id);
            pauseEnd = std::min(pauseEnd.value_or(end), end);
            continue;
        }
        if (!open) {
            open = this->openAmong(candidates, ownDataCentre, now);
            if (this->keepsEngines)
                kept = this->large.keptEngines(candidates);
        }
        // The engines of a version are few, and may all be kept.
        bool mayAskKept = kept.empty() || request->version || this->large.isLarge(*request)
            || this->shares.isStarved(request->priority, now);
        auto engine = this->load.chooseFrom(*open, request->tokens, random, [&](const ServerRecord& each) {
            return request->mayBeServedAt(each.softwareVersion)
                && (mayAskKept || std::find(kept.begin(), kept.end(), &each) == kept.end());
        });
        if (!engine) {
            isAnyRequestWaiting = true;
            continue;
        }
        auto record = std::find_if(
            open->begin(), open->end(), [&](const OpenEngine& each) { return each.record->id == *engine; });
        this->call(*request, *record->record, schedule);
        // The call changes the load of this engine only.
        auto again = this->openAmong({ record->record }, ownDataCentre, now);
        if (again.empty())
            open->erase(record);
        else
            *record = again.front();
    }
    if (isAnyRequestWaiting)
        this->forecast.noteBusy(now);
    else
        this->forecast.noteIdle();
    schedule.nextAt = this->waiting.firstDue(now);
    if (schedule.nextAt && isAnyRequestWaiting) {
        auto retryAt = candidates.empty() ? now + NoEngineRetryDelay : this->load.nextRetryAt(now);
        schedule.nextAt = std::min(*schedule.nextAt, retryAt.value_or(*schedule.nextAt));
    }
    if (schedule.nextAt && pauseEnd)
        schedule.nextAt = std::min(*schedule.nextAt, *pauseEnd);
    return schedule;
}

void AdmissionQueue::call(
    const WaitingRequest& request, const ServerRecord& engine, ReservationSchedule& schedule)
{
    this->load.reserve(engine.id, request.tokens);
    this->load.noteRequested(engine.id);
    this->inFlight.insert(request.id);
    schedule.calls.push_back({ request.id, engine.id, request.tokens, this->limits.reserve(engine),
        this->limits.reserve(engine) });
}

bool AdmissionQueue::onAnswer(const ReservationCall& call, ReservationResult result, TimePoint now)
{
    this->inFlight.erase(call.request);
    if (result != ReservationResult::Granted) {
        this->load.release(call.engine, call.tokens);
        // A failed call counts as a refusal of every size.
        this->load.noteRefusal(call.engine, result == ReservationResult::Refused ? call.tokens : 0, now);
        this->noteRefused(call.request, now);
        return false;
    }
    this->load.noteGranted(call.engine);
    const WaitingRequest* request = this->waiting.find(call.request);
    if (request == nullptr)
        return false;
    this->shares.noteEnd(request->priority, true, now);
    this->large.noteEnd(*request, true, now);
    this->remove(call.request);
    this->forecast.noteGrant(now, call.tokens);
    return true;
}

} // namespace peridotgrade
