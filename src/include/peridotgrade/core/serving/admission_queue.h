// Decides which waiting request asks which engine for a reservation, and when.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/serving/deadline_queue.h"
#include "peridotgrade/core/serving/early_rejection.h"
#include "peridotgrade/core/serving/engine_load.h"
#include "peridotgrade/core/serving/large_requests.h"
#include "peridotgrade/core/serving/priority_shares.h"
#include "peridotgrade/core/serving/queue_forecast.h"
#include "peridotgrade/core/serving/server_limits.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace peridotgrade {

/// A reservation request to be sent to an engine.
struct ReservationCall {
    RequestId request;
    ServerId engine;
    std::uint32_t tokens = 0;
    /// At an engine that has named a limit: the call itself, and the run that follows it.
    std::shared_ptr<CallReserve> callReserve;
    std::shared_ptr<CallReserve> runReserve;
};

/// Result of a reservation call.
enum class ReservationResult : std::uint8_t {
    Granted,
    /// The engine has no room.
    Refused,
    /// The call failed or was not answered.
    Failed,
};

/// What the owner has to do now.
struct ReservationSchedule {
    std::vector<RequestId> overdue;
    /// Requests that waited and cannot be served in time any longer.
    std::vector<EarlyRejection> rejected;
    std::vector<ReservationCall> calls;
    /// When to call `schedule` again if nothing happens before; nothing if no request is waiting.
    std::optional<TimePoint> nextAt;
};

/// The requests of one entry that wait for memory at a service's engines. The owner sends the calls of each
/// schedule and reports their answers. Not thread safe.
///
/// Where requests have priorities, an entry decides as follows, since it sees a small part of the requests
/// and its own queue is short: memory that becomes free at an engine goes to whichever entry asks for it
/// next, so a less urgent request asks less often after a refusal. It is rejected, when it arrives or while
/// it waits, if those before it and the more urgent ones that are expected fill the time that it has. A
/// priority that is served much less often than all requests is exempt from both and goes first.
///
/// Likewise, a request that can no longer be on time asks less often than those that can, with and without
/// priorities; with priorities, retries go first instead. A late retry is rejected only if the forecast is
/// certain, since no other attempt follows it.
class AdmissionQueue {
public:
    /// Enough to keep up with a burst over a round trip of 10 ms.
    static constexpr std::size_t MaxCallsInFlight = 6;
    /// Retry interval while there is no engine at all; the server list may bring one.
    static constexpr std::chrono::milliseconds NoEngineRetryDelay { 60 };

    /// Longest pause after a refusal for a request of the second priority present; it doubles with each
    /// further one. With a round trip of 9 ms such a request asks a quarter as often as one without a pause.
    static constexpr std::chrono::milliseconds LessUrgentPause { 30 };
    /// Part of its remaining time that a request pauses at most. With constant pauses memory was idle while
    /// all that waited for it paused, and requests near their due time had few attempts left.
    static constexpr double MaxPauseShare = 0.03;
    static constexpr std::uint32_t MaxPauseDoublings = 3;
    /// Longest pause after a refusal for a request that can no longer be on time, and the part of its
    /// remaining time that it pauses at most. A late answer is worth a fifth of one on time.
    static constexpr std::chrono::milliseconds LatePause { 400 };
    static constexpr double MaxLatePauseShare = 0.2;
    /// A late retry does not pause when it is due this soon: its caller does not ask again, and a late answer
    /// is worth more than none.
    static constexpr std::chrono::milliseconds LastAttemptTime { 1000 };

    AdmissionQueue(EngineLoad& load, ServerLimits& limits)
        : load(load)
        , limits(limits)
    {
    }

    /// Returns nothing if the request waits now, and why not if it cannot be served in time; it is then
    /// rejected at once.
    std::optional<EarlyRejection> add(const WaitingRequest& request, TimePoint now);
    /// Removes a request whose caller has disconnected.
    void remove(RequestId id);
    /// Removes and returns the requests that are due by then.
    std::vector<RequestId> takeDueBy(TimePoint time, TimePoint now);
    ReservationSchedule schedule(const std::vector<const ServerRecord*>& candidates,
        const DataCentreId& ownDataCentre, TimePoint now, RandomSource& random);
    /// Returns true if the request gets the reservation. A reservation that is granted after its request has
    /// left the queue must be cancelled.
    bool onAnswer(const ReservationCall& call, ReservationResult result, TimePoint now);
    std::size_t size() const { return this->waiting.size(); }
    /// Whether engines are kept for large requests while these are starved.
    void setKeepsEngines(bool value) { this->keepsEngines = value; }

private:
    /// The engines that may be called now.
    std::vector<OpenEngine> openAmong(
        const std::vector<const ServerRecord*>& candidates, const DataCentreId& ownDataCentre, TimePoint now);

    /// The waiting requests in the order of this schedule: the earliest of a starved priority goes first.
    /// Valid until the queue changes.
    std::vector<const WaitingRequest*> inServingOrder(TimePoint now) const;
    /// Why the request cannot be served in time; nothing if it may be.
    std::optional<EarlyRejection> forecastFor(const WaitingRequest& request, TimePoint now);
    void rejectHopeless(ReservationSchedule& schedule, TimePoint now);
    EarlyRejection rejectionOf(
        const WaitingRequest& request, EarlyRejectionReason reason, std::uint64_t tokensAhead, TimePoint now);
    /// More urgent priorities are present, and this one gets its guaranteed share.
    bool mustYield(RequestPriority priority, TimePoint now) const;
    /// The same, unless it is a large request and those of its priority are starved.
    bool mustYield(const WaitingRequest& request, TimePoint now) const;
    /// Adds the call to the schedule.
    void call(const WaitingRequest& request, const ServerRecord& engine, ReservationSchedule& schedule);
    bool isPausing(RequestId id, TimePoint now) const;
    void noteRefused(RequestId id, TimePoint now);
    /// How long the request does not ask after a refusal.
    Duration pauseOf(const WaitingRequest& request, TimePoint now) const;
    /// The request has left the queue without having been served.
    void noteUnserved(const WaitingRequest& request, TimePoint now);

    EngineLoad& load;
    ServerLimits& limits;
    DeadlineQueue waiting;
    PriorityShares shares;
    LargeRequests large { shares };
    /// When less urgent and late requests that were refused ask again. Invariant: only of waiting requests.
    std::map<RequestId, TimePoint> pausedUntil;
    QueueForecast forecast;
    bool keepsEngines = true;
    /// Requests with a call in flight, whether they still wait or not.
    std::set<RequestId> inFlight;
};

} // namespace peridotgrade
