// Shutdown of a gateway after SIGTERM.
#pragma once

#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/net/http_server.h"

#include <cstddef>
#include <functional>
#include <string_view>

namespace peridotgrade {

/// Ends the service of a gateway in steps: requests are served for a while, then connections of callers are
/// closed as they become idle, then the port is, and at last what is left is refused or cut off.
/// docs/OPERATIONS.md has what a caller meets in each step.
class GatewayStop {
public:
    /// A generation that keeps the port open as long as it lives.
    class OpenGeneration {
    public:
        explicit OpenGeneration(GatewayStop& stop)
            : stop(stop)
        {
            ++this->stop.openGenerations;
        }
        ~OpenGeneration() { --this->stop.openGenerations; }
        OpenGeneration(const OpenGeneration&) = delete;
        OpenGeneration& operator=(const OpenGeneration&) = delete;

    private:
        GatewayStop& stop;
    };

    /// `onStopped` is called at the end; `isWhole` is false if requests have to be cut off.
    GatewayStop(GatewayState& state, HttpServer& callers, std::function<void(bool isWhole)> onStopped);

    /// Only the first call has an effect.
    void begin();
    /// True for a request that might not end before the process has to.
    bool isTooLateFor(bool isGeneration, TimePoint deadline) const;

private:
    void logStep(std::string_view event);
    void finishWhenIdle();

    GatewayState& state;
    HttpServer& callers;
    const std::function<void(bool isWhole)> onStopped;
    /// When running requests are cut off.
    TimePoint endsAt {};
    std::size_t openGenerations = 0;
    /// Requests that might not end in time are rejected.
    bool isRejecting = false;
    /// The port for callers is closed.
    bool isClosed = false;
};

} // namespace peridotgrade
