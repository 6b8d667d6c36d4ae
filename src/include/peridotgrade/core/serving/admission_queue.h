// Decides which waiting request asks which engine for memory, and when.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/serving/deadline_queue.h"
#include "peridotgrade/core/serving/engine_load.h"
#include "peridotgrade/core/serving/queue_forecast.h"

#include <optional>
#include <set>
#include <vector>

namespace peridotgrade {

/// A reservation to be asked for.
struct ReservationCall {
    RequestId request;
    ServerId engine;
    std::uint32_t tokens = 0;
};

/// What an engine made of a trial.
enum class ReservationResult : std::uint8_t {
    Granted,
    /// No room.
    Refused,
    /// No answer.
    Failed,
};

/// What is to be done now.
struct ReservationSchedule {
    std::vector<RequestId> overdue;
    std::vector<ReservationCall> calls;
    /// When to take the next turn if nothing happens before; nothing if nobody waits.
    std::optional<TimePoint> nextAt;
};

/// The requests of one entry that wait for memory at a service's engines. Whoever owns it sends the trials of
/// each turn and reports their answers. Not thread safe.
class AdmissionQueue {
public:
    /// Trials under way at once: enough to keep up with a burst over a round trip of 10 ms.
    static constexpr std::size_t MaxCallsInFlight = 6;
    /// Pause while there is no engine at all; the list of servers may bring one.
    static constexpr std::chrono::milliseconds NoEngineRetryDelay { 60 };

    explicit AdmissionQueue(EngineLoad& load)
        : load(load)
    {
    }

    /// False if the request cannot be reached by its due time and is rejected at once.
    bool add(const WaitingRequest& request, TimePoint now);
    /// The caller has left.
    void remove(RequestId id);
    ReservationSchedule schedule(const std::vector<const ServerRecord*>& candidates,
        const DataCentreId& ownDataCentre, TimePoint now, RandomSource& random);
    /// True if the request gets the place. A granted place whose request no longer waits is to be given back.
    bool onAnswer(const ReservationCall& call, ReservationResult result, TimePoint now);
    std::size_t size() const { return this->waiting.size(); }

private:
    EngineLoad& load;
    DeadlineQueue waiting;
    QueueForecast forecast;
    /// Requests with a trial under way, waiting or not.
    std::set<RequestId> inFlight;
};

} // namespace peridotgrade
