// Reserves memory at decode engines for the requests of one model service.
#pragma once

#include "peridotgrade/core/serving/admission_queue.h"
#include "peridotgrade/core/serving/first_event_time.h"
#include "peridotgrade/gateway/cancellation_signal.h"
#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/gateway/request_trace.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace peridotgrade {

/// A reservation at an engine. Its owner uses it or cancels it.
struct EngineReservation {
    std::shared_ptr<ServerClient> engine;
    std::string id;
    std::uint32_t tokens = 0;
    /// When the engine releases the reservation by itself.
    TimePoint expiresAt;
    /// Call for the run, at an engine that has named a limit.
    std::shared_ptr<CallReserve> runReserve;
};

/// The admission queue of one service and its reservation calls. Runs on the gateway's thread.
class ReservationBroker : public std::enable_shared_from_this<ReservationBroker> {
public:
    ReservationBroker(GatewayState& state, ServiceId service);

    /// Sets how long engines keep a reservation that is not used.
    void setLifetime(std::chrono::milliseconds value) { this->lifetime = value; }
    /// Waits for a reservation until `request` is due; its id is set here. Returns nothing if none was
    /// granted or the caller disconnected. Refusals are added to `trace`, and an early rejection with its
    /// reason.
    boost::asio::awaitable<std::optional<EngineReservation>> acquire(
        RequestTrace& trace, WaitingRequest request, CancellationSignal& cancellation);
    /// A stream's first event came `took` after its reservation was granted.
    void noteFirstEvent(TimePoint now, Duration took) { this->firstEvents.record(now, took); }
    /// A prefill that takes `cost` at an idle engine took `took`.
    void notePrefill(TimePoint now, Duration took, Duration cost)
    {
        this->firstEvents.recordPrefill(now, took, cost);
    }
    /// Expected for a prompt whose prefill takes `cost` at an idle engine; nothing without evidence.
    std::optional<Duration> timeToFirstEvent(TimePoint now, std::optional<Duration> cost) const
    {
        return this->firstEvents.expected(now, cost);
    }
    /// Requests that wait.
    std::size_t waitingRequests() const { return this->waiters.size(); }
    /// The run of a reservation has ended, so its memory is free again.
    void release(const EngineReservation& reservation);
    /// Cancels a reservation that no run will use.
    void cancel(const EngineReservation& reservation);

private:
    struct Waiter;

    void dispatch();
    void dispatchAt(TimePoint due);
    void startCall(const ReservationCall& call);
    boost::asio::awaitable<void> requestReservation(
        std::shared_ptr<ReservationBroker> self, ReservationCall call, std::shared_ptr<ServerClient> engine);
    void noteFailure(const ReservationCall& call, const CallFailure& failure);
    static void noteRejection(RequestTrace& trace, const EarlyRejection& rejection, TimePoint now);
    void finish(RequestId id, std::optional<EngineReservation> reservation);

    GatewayState& state;
    const ServiceId service;
    std::chrono::milliseconds lifetime;
    AdmissionQueue queue;
    FirstEventTime firstEvents;
    std::map<RequestId, std::shared_ptr<Waiter>> waiters;
    std::uint64_t lastId = 0;
    /// The earliest dispatch that is subscribed.
    std::optional<TimePoint> nextDispatchAt;
};

} // namespace peridotgrade
