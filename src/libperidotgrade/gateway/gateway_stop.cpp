// The steps of a shutdown and their times.
#include "peridotgrade/gateway/gateway_stop.h"

#include <utility>

namespace peridotgrade {

namespace {

    // New requests are served for this first part of shutdown, since callers are sent elsewhere only after
    // two unanswered readiness checks of a second each.
    constexpr std::chrono::milliseconds ServeAfterSignal { 3000 };
    // Running requests are given up this long before the process is killed.
    constexpr std::chrono::milliseconds StopMargin { 300 };
    // Before running requests are given up: the time for requests that arrive as the port is closed, and the
    // last part of it, in which those that are still incomplete get their answers.
    constexpr std::chrono::milliseconds LastRequestsTime { 500 };
    constexpr std::chrono::milliseconds RefusalTime { 100 };
    constexpr std::chrono::milliseconds StopCheckInterval { 50 };

} // namespace

GatewayStop::GatewayStop(
    GatewayState& state, HttpServer& callers, std::function<void(bool isWhole)> onStopped)
    : state(state)
    , callers(callers)
    , onStopped(std::move(onStopped))
{
}

void GatewayStop::begin()
{
    if (std::exchange(this->state.isStopping, true))
        return;
    this->endsAt = this->state.now() + this->state.settings.stopWithin - StopMargin;
    this->state.log.write(
        LogLevel::Info, "stopping", { { "open_requests", std::to_string(this->callers.openExchanges()) } });
    this->state.subscribeAfter(ServeAfterSignal, [this] {
        this->isRejecting = true;
        this->logStep("connections_closing");
        this->callers.disableKeepAlive();
        this->finishWhenIdle();
    });
}

bool GatewayStop::isTooLateFor(bool isGeneration, TimePoint deadline) const
{
    return this->isRejecting && (isGeneration || deadline > this->endsAt);
}

void GatewayStop::logStep(std::string_view event)
{
    this->state.log.write(LogLevel::Info, event,
        { { "open_requests", std::to_string(this->callers.openExchanges()) },
            { "open_generations", std::to_string(this->openGenerations) },
            { "arriving_requests", std::to_string(this->callers.arrivingRequests()) },
            { "open_connections", std::to_string(this->callers.openConnections()) } });
}

void GatewayStop::finishWhenIdle()
{
    TimePoint now = this->state.now();
    // If no other entry is ready, callers are still sent here, so the port stays open as long as it can.
    bool hasClosedBefore = this->isClosed;
    if (!this->isClosed && (this->openGenerations == 0 || now >= this->endsAt - LastRequestsTime)) {
        this->isClosed = true;
        this->logStep("port_closed");
        this->callers.stopAccepting();
    }
    if (this->isClosed && now >= this->endsAt - RefusalTime)
        this->callers.refuseArriving();
    // Requests that were sent just before the port closed are seen at the next check.
    bool isIdle = this->callers.openExchanges() == 0;
    bool isAwaited = !isIdle || !hasClosedBefore || this->callers.arrivingRequests() > 0;
    if (isAwaited && now < this->endsAt) {
        this->state.subscribeAfter(StopCheckInterval, [this] { this->finishWhenIdle(); });
        return;
    }
    this->state.log.write(LogLevel::Info, "stopped",
        { { "whole", isIdle ? "true" : "false" },
            { "open_requests", std::to_string(this->callers.openExchanges()) } });
    this->onStopped(isIdle);
}

} // namespace peridotgrade
