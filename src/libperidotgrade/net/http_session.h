// One connection of the HTTP server.
#pragma once

#include "peridotgrade/net/http_server.h"
#include "session_waits.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>

namespace peridotgrade {

/// State shared by all connections of one server. Thread safe.
struct HttpSessionShared {
    HttpSessionShared(HttpServerSettings settings, HttpHandler handler)
        : settings(std::move(settings))
        , handler(std::move(handler))
    {
    }

    const HttpServerSettings settings;
    const HttpHandler handler;
    /// No more connections are accepted.
    std::atomic<bool> isStopping = false;
    /// Each connection is closed after its current response. Invariant: true if `isStopping` is.
    std::atomic<bool> isClosing = false;
    std::atomic<std::size_t> openConnections = 0;
    std::atomic<std::size_t> openExchanges = 0;
    /// Connections without a byte of a request.
    SessionWaits idle;
    /// Requests of which the first byte has arrived and not the last one, and new connections of a server
    /// that stops.
    SessionWaits arriving;
};

/// Serves the connection until it ends. The socket's executor must be a strand.
void startHttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpSessionShared> shared);

} // namespace peridotgrade
