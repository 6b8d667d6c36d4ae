// The answers that the gateway gives of its own, and their log lines.
#pragma once

#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/gateway/request_context.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// How a stream reached the gateway.
struct StreamTimes {
    /// From the request's arrival.
    Duration firstEvent {};
    /// Between two pieces of the stream.
    Duration longestPause {};
};

/// Time until the request's deadline; zero when it has passed.
std::chrono::milliseconds timeLeft(const GatewayState& state, const RequestContext& context);

/// The request has not run and never will.
boost::asio::awaitable<void> answerNotRun(GatewayState& state, RequestContext& context,
    std::string_view reason, std::optional<std::chrono::milliseconds> retryAfter,
    std::string_view server = {});
/// The request may have run.
boost::asio::awaitable<void> answerFailed(GatewayState& state, RequestContext& context, std::uint16_t status,
    std::string_view reason, std::string_view server = {}, std::string_view detail = {});
/// Ends the connection of a stream that cannot be finished.
void abortStream(GatewayState& state, RequestContext& context, std::string_view reason,
    std::string_view server, std::string_view detail);
/// A server's answer went out whole.
void noteAnswered(GatewayState& state, const RequestContext& context, std::uint16_t status,
    std::string_view server, std::uint32_t attempts, std::optional<StreamTimes> times = {});
/// The caller has left.
void noteCallerDisconnected(GatewayState& state, const RequestContext& context, std::string_view phase);

} // namespace peridotgrade
