// Answers that the gateway generates itself, and the log lines that end a request.
#pragma once

#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/gateway/request_context.h"
#include "peridotgrade/net/body_framing.h"
#include "peridotgrade/net/request_write_state.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace peridotgrade {

/// A stream as it reached the gateway.
struct StreamSummary {
    /// Time from the request's arrival to the first event.
    Duration firstEvent {};
    /// Longest time between two pieces of the stream.
    Duration longestPause {};
    /// Complete events.
    std::uint32_t events = 0;
    /// Bytes followed the last complete event.
    bool hasPartialEvent = false;
    /// Output tokens that were expected, and those that the events had.
    std::uint32_t expectedOutputTokens = 0;
    std::uint32_t outputTokens = 0;
};

/// A server's answer that was sent to the caller.
struct SentAnswer {
    std::uint16_t status = 0;
    std::string server;
    /// Sends of the request, or rounds of a generation.
    std::uint32_t attempts = 0;
    /// How the server marked the end of its answer.
    BodyFraming framing = BodyFraming::Length;
    /// How far the request had been written to the server when its answer ended.
    RequestWriteState requestWriteState = RequestWriteState::Written;
    std::optional<StreamSummary> stream;
};

/// Time until the request's deadline; zero when it has passed.
std::chrono::milliseconds timeLeft(const GatewayState& state, const RequestContext& context);

/// Answers that the request has not run and never will.
boost::asio::awaitable<void> answerNotRun(GatewayState& state, RequestContext& context,
    std::string_view reason, std::optional<std::chrono::milliseconds> retryAfter,
    std::string_view server = {});
/// Answers that the request is quarantined, or on probation and no trial, and has not run.
boost::asio::awaitable<void> answerQuarantined(GatewayState& state, RequestContext& context);
/// Answers that the request is over the quota of its tenant and has not run.
boost::asio::awaitable<void> answerOverQuota(
    GatewayState& state, RequestContext& context, std::chrono::milliseconds retryAfter);
/// Answers that the request has failed and may have run.
boost::asio::awaitable<void> answerFailed(GatewayState& state, RequestContext& context, std::uint16_t status,
    std::string_view reason, std::string_view server = {}, std::string_view detail = {});
/// Closes the connection of a stream that cannot be completed.
void abortStream(GatewayState& state, RequestContext& context, std::string_view reason,
    std::string_view server, std::string_view detail);
/// Logs that a server's answer was sent completely.
void noteAnswered(GatewayState& state, RequestContext& context, const SentAnswer& answer);
/// Logs that the caller has disconnected.
void noteCallerDisconnected(GatewayState& state, RequestContext& context, std::string_view phase);

} // namespace peridotgrade
