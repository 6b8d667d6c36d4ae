// Finds memory at decode engines for the requests of one model service.
#pragma once

#include "peridotgrade/core/serving/place_queue.h"
#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/gateway/interrupt.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace peridotgrade {

/// A reservation at an engine. Whoever got it uses it or gives it back.
struct ReservedPlace {
    std::shared_ptr<ServerClient> engine;
    std::string reservation;
    std::uint32_t tokens = 0;
    /// When the engine drops it by itself.
    TimePoint lapsesAt;
};

/// The line of one service's requests and the reservations asked for them. Runs on the gateway's thread.
class PlaceBroker : public std::enable_shared_from_this<PlaceBroker> {
public:
    PlaceBroker(GatewayState& state, ServiceId service);

    /// Waits for a place until `due`; nothing if there was none, or the caller has left.
    boost::asio::awaitable<std::optional<ReservedPlace>> acquire(
        std::string attempt, std::uint32_t tokens, TimePoint due, Interrupt& interrupt);
    /// A place was used up or given back: the memory is free again.
    void release(const ReservedPlace& place);
    /// Gives back a reservation that no run will use.
    void giveBack(const ReservedPlace& place);

private:
    struct Waiter;

    void takeTurn();
    void takeTurnAt(TimePoint due);
    void startTrial(const PlaceTrial& trial);
    boost::asio::awaitable<void> tryReserve(
        std::shared_ptr<PlaceBroker> self, PlaceTrial trial, std::shared_ptr<ServerClient> engine);
    void noteFailure(const PlaceTrial& trial, const CallFailure& failure);
    void end(RequestId id, std::optional<ReservedPlace> place);

    GatewayState& state;
    const ServiceId service;
    PlaceQueue queue;
    std::map<RequestId, std::shared_ptr<Waiter>> waiters;
    std::uint64_t lastId = 0;
    /// The earliest turn that is subscribed.
    std::optional<TimePoint> nextTurn;
};

} // namespace peridotgrade
