// Implementation of the queue for places.
#include "peridotgrade/core/serving/admission_queue.h"

#include <algorithm>

namespace peridotgrade {

bool AdmissionQueue::add(const WaitingRequest& request, TimePoint now)
{
    if (!this->forecast.canServe(now, this->line.tokensBefore(request), request.due - now))
        return false;
    this->line.add(request);
    return true;
}

void AdmissionQueue::remove(RequestId id) { this->line.remove(id); }

ReservationSchedule AdmissionQueue::turn(const std::vector<const ServerRecord*>& candidates,
    const DataCentreId& ownDataCentre, TimePoint now, RandomSource& random)
{
    ReservationSchedule turn;
    turn.overdue = this->line.takeOverdue(now);
    bool isAnyoneWaiting = false;
    this->line.visit([&](const WaitingRequest& request) {
        if (this->trying.contains(request.id))
            return true;
        if (this->trying.size() >= MostTrials) {
            isAnyoneWaiting = true;
            return false;
        }
        auto engine = this->use.choose(candidates, ownDataCentre, request.tokens, now, random);
        if (!engine) {
            isAnyoneWaiting = true;
            return true;
        }
        this->use.reserve(*engine, request.tokens);
        this->use.noteAsked(*engine);
        this->trying.insert(request.id);
        turn.trials.push_back({ request.id, *engine, request.tokens });
        return true;
    });
    if (isAnyoneWaiting)
        this->forecast.noteBusy(now);
    else
        this->forecast.noteIdle();
    turn.next = this->line.firstDue();
    auto refusalEnd = candidates.empty() ? now + NoEnginePause : this->use.nextRefusalEnd(now);
    if (turn.next && isAnyoneWaiting && refusalEnd)
        turn.next = std::min(*turn.next, *refusalEnd);
    return turn;
}

bool AdmissionQueue::onAnswer(const ReservationCall& trial, ReservationResult result, TimePoint now)
{
    this->trying.erase(trial.request);
    if (result != ReservationResult::Granted) {
        this->use.release(trial.engine, trial.tokens);
        this->use.noteRefusal(trial.engine, result == ReservationResult::Refused ? trial.tokens : 0, now);
        return false;
    }
    this->use.noteGranted(trial.engine);
    if (!this->line.contains(trial.request))
        return false;
    this->line.remove(trial.request);
    this->forecast.noteGrant(now, trial.tokens);
    return true;
}

} // namespace peridotgrade
