// Responses to callers that the gateway makes before a server is chosen.
#pragma once

#include "peridotgrade/gateway/gateway_request.h"
#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/net/http_server.h"

#include <chrono>
#include <string_view>

namespace peridotgrade {

/// Makes, counts and logs them. docs/PLATFORM.md lists all responses that no server has made.
class OwnAnswers {
public:
    /// Time-out of a caller that states none; about that of the shortest calls.
    static constexpr std::chrono::milliseconds DefaultCallerTimeout { 1500 };

    explicit OwnAnswers(GatewayState& state);

    boost::asio::awaitable<void> send(HttpExchange& exchange, HttpResponse response);
    /// Rejects a request as not run. When the caller is told to return depends on the time that it has left.
    boost::asio::awaitable<void> reject(HttpExchange& exchange, const GatewayRequest& request,
        std::string_view reason, std::chrono::milliseconds timeLeft);
    /// The response to a request that is not read to its end.
    HttpResponse unread(const HttpRequest& request, UnreadReason reason);

    /// The HTTP server has refused a request itself.
    void noteRefused(const RefusedRequest& refused);
    void noteDropped(const DroppedRequest& dropped);

private:
    HttpResponse rejectUnread(const HttpRequest& request, bool isStopping);

    GatewayState& state;
};

} // namespace peridotgrade
