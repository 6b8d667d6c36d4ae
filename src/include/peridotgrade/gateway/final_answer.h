// Answers that the gateway generates itself, and the log lines that end a request.
#pragma once

#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/gateway/request_context.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// Timing of a stream as it reached the gateway.
struct StreamTimes {
    /// Time from the request's arrival to the first event.
    Duration firstEvent {};
    /// Longest time between two pieces of the stream.
    Duration longestPause {};
};

/// Time until the request's deadline; zero when it has passed.
std::chrono::milliseconds timeLeft(const GatewayState& state, const RequestContext& context);

/// Answers that the request has not run and never will.
boost::asio::awaitable<void> answerNotRun(GatewayState& state, RequestContext& context,
    std::string_view reason, std::optional<std::chrono::milliseconds> retryAfter,
    std::string_view server = {});
/// Answers that the request has failed and may have run.
boost::asio::awaitable<void> answerFailed(GatewayState& state, RequestContext& context, std::uint16_t status,
    std::string_view reason, std::string_view server = {}, std::string_view detail = {});
/// Closes the connection of a stream that cannot be completed.
void abortStream(GatewayState& state, RequestContext& context, std::string_view reason,
    std::string_view server, std::string_view detail);
/// Logs that a server's answer was sent completely.
void noteAnswered(GatewayState& state, RequestContext& context, std::uint16_t status, std::string_view server,
    std::uint32_t attempts, std::optional<StreamTimes> times = {});
/// Logs that the caller has disconnected.
void noteCallerDisconnected(GatewayState& state, RequestContext& context, std::string_view phase);

} // namespace peridotgrade
