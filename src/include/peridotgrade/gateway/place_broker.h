// Finds memory at decode engines for the requests of one model service.
#pragma once

#include "peridotgrade/core/serving/line_forecast.h"
#include "peridotgrade/core/serving/waiting_line.h"
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
    std::size_t waiting() const { return this->line.size(); }

private:
    struct Waiter;

    void pump();
    void startTrial(const std::shared_ptr<Waiter>& waiter, const ServerRecord& server);
    boost::asio::awaitable<void> tryReserve(
        std::shared_ptr<PlaceBroker> self, std::shared_ptr<Waiter> waiter, std::shared_ptr<ServerClient> engine);
    void end(Waiter& waiter);
    void rejectOverdue();
    void noteLine();
    void pumpLater(Duration delay);

    GatewayState& state;
    const ServiceId service;
    WaitingLine line;
    LineForecast forecast;
    std::map<RequestId, std::shared_ptr<Waiter>> waiters;
    std::uint64_t lastId = 0;
    std::uint32_t trials = 0;
    bool isPumpScheduled = false;
};

} // namespace peridotgrade
